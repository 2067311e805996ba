/** Must be imported before roarr, which reads this variable when loaded and drops all lines without it. */
process.env.ROARR_LOG ??= 'true';
