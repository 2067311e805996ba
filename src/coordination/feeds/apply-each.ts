/** Applies many records to a handler so that one that fails does not skip the others. */

/** A record with which a handler has failed; `key` is empty if it is not known which one. */
export interface FailedRecord {
  readonly key: string;
  readonly cause: unknown;
}

/** The failures of one `applyEach`. */
class FailedRecordsError extends Error {
  override readonly name = 'FailedRecordsError';

  constructor(readonly failures: readonly FailedRecord[]) {
    super(`${failures.length} records failed`);
  }
}

/** Applies every record, also after one has failed, and throws all failures together at the end. */
export function applyEach<T>(
  records: Iterable<T>,
  keyOf: (record: T) => string,
  apply: (record: T) => void,
): void {
  const failures: FailedRecord[] = [];
  for (const record of records)
    try {
      apply(record);
    } catch (cause) {
      failures.push({ key: keyOf(record), cause });
    }
  if (failures.length > 0) throw new FailedRecordsError(failures);
}

/** The failures in an exception of a handler. */
export function failuresOf(cause: unknown): readonly FailedRecord[] {
  return cause instanceof FailedRecordsError ? cause.failures : [{ key: '', cause }];
}
