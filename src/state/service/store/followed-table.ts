/**
 * The table that every node follows for several kinds of records, each kind in partitions of its own: one
 * long poll serves all of them, so a further kind costs no call of the store while nothing changes.
 */
export const FOLLOWED_TABLE = 'jobs';
