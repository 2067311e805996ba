/**
 * The table that every node follows. Kinds of records of which each node must hear lie in it, each kind in partitions of its
 * own: a node asks one question for all of them, so a further kind costs no call of the store while nothing changes.
 */
export const FOLLOWED_TABLE = 'jobs';
