/**
 * Fatal runs in the store: one record for each request and replica. They lie in the table of jobs, which nodes of the build
 * before follow too; these take what is no JSON for no job.
 */
import type { ChangedRecord, RecordWrite } from '../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';
import type { FatalRun } from './fatal-runs.js';

/** Partition of these records. */
export const FATAL_RUN_PARTITION = 'fatal-runs';

const KEY_SEPARATOR = '/';
const LINE = '\n';

/** The record of a run at one replica; another report of the same run takes its place. */
export function toFatalRunRecord({ digest, address, endedAtMs }: FatalRun, replicaId: string): RecordWrite {
  return {
    table: FOLLOWED_TABLE,
    partition: FATAL_RUN_PARTITION,
    key: `${digest}${KEY_SEPARATOR}${replicaId}`,
    value: Buffer.from(`${address}${LINE}${Math.round(endedAtMs)}`, 'utf8'),
  };
}

/** The run in a record; `undefined` when the record holds none. */
export function parseFatalRun({ key, value }: Pick<ChangedRecord, 'key' | 'value'>): FatalRun | undefined {
  const [digest] = key.split(KEY_SEPARATOR);
  const [address, time] = (value?.toString('utf8') ?? '').split(LINE);
  const endedAtMs = Number(time);
  if (!digest || !address || !time || !Number.isFinite(endedAtMs)) return undefined;
  return { digest, address, endedAtMs };
}
