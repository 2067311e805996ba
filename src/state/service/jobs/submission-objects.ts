/** Submissions that are too large for records: objects of at most the size that the store takes, in their order. */
import { err, ok, type Result } from 'neverthrow';
import { uniqueId } from '../../../common/identifier.js';
import type { RecordStore } from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';

/** Where a submission is stored, as fields of its job's record. */
export interface SubmissionReference {
  /** Name of the first object. */
  readonly object?: string;
  /** Number of objects; absent if there is one, as earlier builds know it. */
  readonly objects?: number;
}

/** Names of the objects; none if the submission is stored otherwise. */
function namesOf({ object, objects = 1 }: SubmissionReference): string[] {
  if (object === undefined) return [];
  return Array.from({ length: objects }, (_, index) => (index === 0 ? object : `${object}-${index}`));
}

export class SubmissionObjects {
  constructor(private readonly store: RecordStore) {}

  /** Stores a submission. What is stored before a failure takes space but is never read. */
  async put(jobId: string, submission: Buffer): Promise<Result<SubmissionReference, StateError>> {
    const { objectBytes } = this.store.limits;
    const object = `job-${jobId}-${uniqueId()}`;
    const objects = Math.ceil(submission.length / objectBytes);
    const reference = objects > 1 ? { object, objects } : { object };
    for (const [index, name] of namesOf(reference).entries()) {
      const part = submission.subarray(index * objectBytes, (index + 1) * objectBytes);
      const outcome = await this.store.putObject(name, part);
      if (outcome.isErr()) return err(new StateError('unavailable', 'none', outcome.error.message));
    }
    return ok(reference);
  }

  async read(reference: SubmissionReference): Promise<Result<Buffer, StateError>> {
    const parts: Buffer[] = [];
    for (const name of namesOf(reference)) {
      const found = await this.store.getObject(name);
      if (found.isErr()) return err(new StateError('unavailable', 'none', found.error.message));
      if (!found.value) return err(new StateError('not-found', 'none', `object ${name} does not exist`));
      parts.push(found.value);
    }
    const [first] = parts;
    return ok(first && parts.length === 1 ? first : Buffer.concat(parts));
  }

  async remove(reference: SubmissionReference): Promise<void> {
    for (const name of namesOf(reference)) await this.store.removeObject(name);
  }
}
