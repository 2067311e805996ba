/**
 * Table that every node follows. Several kinds of records share it, each in its own partitions, so that a
 * single long poll covers all of them.
 */
export const FOLLOWED_TABLE = 'jobs';
