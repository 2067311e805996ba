/** roarr reads this variable when it is loaded, and drops all lines without it: import before roarr. */
process.env.ROARR_LOG ??= 'true';
