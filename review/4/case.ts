/**
 * The operator drops the route of the reward calls and adds it again four seconds later. The route of the
 * items themselves is never touched.
 */
import { resolve } from 'node:path';
import { Deployment, ROOT } from '../lib/deployment.js';
import { nowMs, record, sleep } from '../lib/record.js';
import { hasTrouble, runCase } from '../lib/run.js';
import { type BatchJob, end, readResults, submit } from '../lib/trainer.js';

const STEP_MS = 12_000;
const DROPPED_AT_MS = 600;
const DROPPED_FOR_MS = 4_000;
const MAX_QUEUE_MS = 40_000;
const MAX_ATTEMPTS = 3;
const JOB: BatchJob = {
  id: '1b93f7e2d8054ca6',
  step: 2,
  minVersion: 1,
  groups: 12,
  groupSize: 4,
  isScored: true,
};

await runCase(resolve(ROOT, 'review/4'), async () => {
  const deployment = await Deployment.start({
    nodes: 3,
    engines: 6,
    engineSlots: 8,
    applications: 3,
    applicationSlots: 6,
    applicationMs: 40,
    loadMs: 900,
    memoryMb: 360,
    generationOf: (itemId) => ({
      events: 18,
      eventMs: 60,
      data: (event) => `${itemId}/${event}`.padEnd(290, '.'),
    }),
  });
  const { nodes, engines, applications } = deployment;
  deployment.nameVersion(2);
  await sleep(100);
  const sentAtMs = await submit(JOB, nodes);
  const endsAtMs = sentAtMs + STEP_MS;
  const reading = readResults(JOB, nodes, endsAtMs);
  if (hasTrouble) {
    await sleep(sentAtMs + DROPPED_AT_MS - nowMs());
    deployment.configure({ reward: undefined });
    await sleep(DROPPED_FOR_MS);
    deployment.configure();
  }
  const listed = await reading;
  record(
    `${listed.length} items are listed, ${listed.filter(({ state }) => state === 'dead').length} of them dead`,
  );
  await end(JOB, nodes);
  const runs = [...engines, ...applications].flatMap((replica) => replica.runs);
  const failures = (id: string) =>
    runs.filter((run) => run.end === 'failed' && [id, `${id}s`].includes(run.id));
  return listed
    .filter(
      ({ id, state, readAtMs }) =>
        state === 'dead' && readAtMs - sentAtMs < MAX_QUEUE_MS && failures(id).length < MAX_ATTEMPTS,
    )
    .map(
      ({ id, readAtMs }) =>
        `MIXED: item ${id} is dead ${Math.round(readAtMs - sentAtMs)} ms after its send; no replica failed it, its job is open and its route in force`,
    );
});
