/**
 * A model replica crashes while the replicas move to a new version, on a route with `singleVersion`. The items
 * that it ran have events of the old version, which no replica has any more.
 */
import { resolve } from 'node:path';
import { Deployment, MODEL, ROOT } from '../lib/deployment.js';
import { nowMs, record, sleep, until } from '../lib/record.js';
import { hasTrouble, runCase } from '../lib/run.js';
import { lostItems } from '../lib/steps.js';
import { type BatchJob, end, readResults, submit } from '../lib/trainer.js';

const STEP_MS = 12_000;
const CONTACT_MS = 3_000;
const JOB: BatchJob = {
  id: '7c41e09b52d6a3f8',
  step: 2,
  minVersion: 1,
  groups: 18,
  groupSize: 4,
  isScored: true,
};

/** Between 14 and 40 events, by the item. */
function eventsOf(itemId: string): number {
  const number = Number(/i(\d+)$/.exec(itemId)?.[1] ?? 0);
  return 14 + ((number * 7) % 27);
}

await runCase(resolve(ROOT, 'review/1'), async () => {
  const deployment = await Deployment.start({
    nodes: 3,
    engines: 6,
    engineSlots: 8,
    applications: 3,
    applicationSlots: 6,
    applicationMs: 40,
    loadMs: 900,
    memoryMb: 360,
    rollout: { singleVersion: true },
    generationOf: (itemId) => ({
      events: eventsOf(itemId),
      eventMs: 60,
      data: (event) => `${itemId}/${event}`.padEnd(290, '.'),
    }),
  });
  const { nodes, engines } = deployment;
  deployment.nameVersion(2);
  const versionNamedAtMs = nowMs();
  await sleep(100);
  const sentAtMs = await submit(JOB, nodes);
  const endsAtMs = sentAtMs + STEP_MS;
  const reading = readResults(JOB, nodes, endsAtMs);
  // The old version is left at one or two replicas, one of which is in the middle of some items.
  const hasBegun = (engine: (typeof engines)[number]) =>
    engine.runs.some(
      ({ end: ended, versions }) => ended === 'running' && versions.length > 0 && versions[0] === 1,
    );
  const victim = () => engines.find((engine) => engine.version === 1 && hasBegun(engine));
  let steadyFromMs = versionNamedAtMs;
  if (hasTrouble) {
    await until(
      'most replicas have the new version',
      () => engines.filter(({ version }) => version === 2).length >= 4 && victim() !== undefined,
      6_000,
    );
    victim()?.crash();
    steadyFromMs = nowMs() + CONTACT_MS;
  }
  const listed = await reading;
  await sleep(endsAtMs - nowMs());
  const breaches = lostItems(deployment, JOB, listed, { endsAtMs, steadyFromMs, versionNamedAtMs });
  record(`at the end of the step ${listed.length} of ${JOB.groups * JOB.groupSize} items are listed`);
  const refused = engines.flatMap(({ declines }) => declines).filter(({ status }) => status === 421);
  record(
    `${refused.length} sends were answered 421; replicas run ${MODEL} ${engines.filter(({ isUp }) => isUp).map(({ version }) => version)}`,
  );
  await end(JOB, nodes);
  return breaches.map(
    (id) => `LOST: item ${id} was at no replica for 5 s of steady state when its step ran out`,
  );
});
