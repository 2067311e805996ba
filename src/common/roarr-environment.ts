/** roarr reads this variable when it is loaded; without it all lines are dropped. Must be imported before roarr. */
process.env.ROARR_LOG ??= 'true';
