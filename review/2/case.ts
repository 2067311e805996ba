/**
 * The platform's store is down for a short time while a job's items finish, whose texts are in Arabic. What
 * finished meanwhile is listed together afterwards.
 */
import { resolve } from 'node:path';
import { Deployment, ROOT } from '../lib/deployment.js';
import { nowMs, record, sleep } from '../lib/record.js';
import { hasTrouble, runCase } from '../lib/run.js';
import { lostItems } from '../lib/steps.js';
import { type BatchJob, end, readResults, submit } from '../lib/trainer.js';

const STEP_MS = 12_000;
const CONTACT_MS = 3_000;
const OUTAGE_AT_MS = 500;
const OUTAGE_MS = 3_200;
const JOB: BatchJob = {
  id: '5d20b7c3a9416e8f',
  step: 2,
  minVersion: 1,
  groups: 12,
  groupSize: 4,
  isScored: true,
};

/** 110 pieces of about 510 bytes, two bytes a letter. */
const EVENTS = 110;
const SENTENCE = 'يرجى نقل المريض من باب المستشفى إلى مركز غسيل الكلى قبل الموعد بنصف ساعة. ';
const PIECE = SENTENCE.repeat(4).slice(0, 280);

/** Items end one after the other, about ten in a second. */
function eventMsOf(itemId: string): number {
  const number = Number(/i(\d+)$/.exec(itemId)?.[1] ?? 0);
  return (600 + number * 100) / EVENTS;
}

await runCase(resolve(ROOT, 'review/2'), async () => {
  const deployment = await Deployment.start({
    nodes: 3,
    engines: 6,
    engineSlots: 8,
    applications: 3,
    applicationSlots: 6,
    applicationMs: 30,
    loadMs: 900,
    memoryMb: 380,
    generationOf: (itemId) => ({
      events: EVENTS,
      eventMs: eventMsOf(itemId),
      data: (event) => `${event} ${PIECE}`,
    }),
  });
  const { nodes, engines, store } = deployment;
  deployment.nameVersion(2);
  const versionNamedAtMs = nowMs();
  await sleep(100);
  let bytesOfTransaction = 0;
  store.onTransaction = (transaction) => {
    const results = (transaction.put ?? []).filter(({ table }) => table === 'job-results');
    if (results.length === 0) return;
    bytesOfTransaction = results.reduce((sum, { value }) => sum + Buffer.byteLength(value, 'base64'), 0);
    record(
      `store: a transaction with ${results.length} rows of results, ${bytesOfTransaction} bytes before base64`,
    );
  };
  const sentAtMs = await submit(JOB, nodes);
  const endsAtMs = sentAtMs + STEP_MS;
  const reading = readResults(JOB, nodes, endsAtMs);
  let steadyFromMs = versionNamedAtMs;
  if (hasTrouble) {
    await sleep(sentAtMs + OUTAGE_AT_MS - nowMs());
    record('store: down, resets every connection');
    store.mode = 'reset';
    await sleep(OUTAGE_MS);
    store.mode = 'answering';
    record('store: answers again');
    steadyFromMs = nowMs() + CONTACT_MS;
  }
  const listed = await reading;
  await sleep(endsAtMs - nowMs());
  record(`at the end of the step ${listed.length} of ${JOB.groups * JOB.groupSize} items are listed`);
  const finished = engines.flatMap(({ runs }) => runs).filter((run) => run.end === 'whole');
  record(`replicas finished ${new Set(finished.map(({ id }) => id)).size} items`);
  const breaches = lostItems(deployment, JOB, listed, { endsAtMs, steadyFromMs, versionNamedAtMs });
  await end(JOB, nodes);
  return breaches.map(
    (id) => `LOST: item ${id} was at no replica for 5 s of steady state when its step ran out`,
  );
});
