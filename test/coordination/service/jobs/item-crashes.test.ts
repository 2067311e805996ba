/**
 * Work of batch jobs under which replicas crashed: an item, or its scoring call, that happened to run during
 * several crashes is still due, and must run again as soon as replicas are up, at every node and in every job.
 */
import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { itemIds, type ReadResult, type TrainerJob } from '../../../../emulator/clients/job-trainer.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  HOST,
  JOB_PATH,
  kill,
  MODEL,
  SCORING_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Crashes that quarantine a lookup for 10 minutes. */
const CRASHES = 3;
/** Time after the crashes in which the work must be done; a trainer's step has a few seconds. */
const MAX_DELAY_MS = 3_000;
/** Longer than any attempt of these tests. */
const ENDLESS_MS = 60_000;
/** Least pauses of a scoring call after consecutive crashes. */
const SCORING_BACKOFFS_MS = [100, 200, 400, 800];
/** Timers may fire this much early. */
const TIMER_TOLERANCE_MS = 2;
const BODY = 'prompt';
const SCORE_PATH = `${SCORING_PATH}x`;

/** Digest of a request in crash records of builds that quarantined work of jobs. */
function earlierDigest(path: string): string {
  const hash = createHash('sha256').update(['POST', HOST, '', path, ''].join('\0'));
  return hash.update(BODY).digest('hex').slice(0, 32);
}

describe('work of batch jobs under which replicas crashed', () => {
  let system: ServiceSystem;
  const submitted = job('job-1', { groups: 1, groupSize: 1 });
  const [itemId] = itemIds(submitted) as [string];
  const itemPath = `${JOB_PATH}${itemId}`;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function startNode(name: string): Promise<ServiceNodeProcess> {
    const node = await system.addNode(name);
    await system.untilReady(node);
    return node;
  }

  /** Replicas that answer nothing until they are started again. */
  async function addEndless(add: () => Promise<ReplicaServer>): Promise<ReplicaServer[]> {
    const replicas = await Promise.all(Array.from({ length: CRASHES }, add));
    for (const replica of replicas) replica.workMs = ENDLESS_MS;
    return replicas;
  }

  /** Crashes the replicas one after the other, each while it runs the request of this path. */
  async function crashUnder(path: string, replicas: readonly ReplicaServer[]): Promise<void> {
    const remaining = new Set(replicas);
    while (remaining.size > 0) {
      const running = await until(`one of ${remaining.size} replicas runs ${path}`, () =>
        [...remaining].find(({ received }) => received.some((request) => request.path === path)),
      );
      running.crash();
      await until('a node has seen the crash', () => hasSeenCrash(running));
      remaining.delete(running);
    }
  }

  const hasSeenCrash = ({ id }: ReplicaServer) =>
    system.nodes
      .flatMap(({ log }) => log)
      .some(
        ({ message, context }) =>
          message === 'attempt-ended' && context.replica === id && context.replicaEnded === 'yes',
      );

  async function restartAll(replicas: readonly ReplicaServer[]): Promise<void> {
    for (const replica of replicas) await system.restartReplica(replica);
  }

  async function expectListedSoon(node: ServiceNodeProcess, { id }: TrainerJob): Promise<ReadResult[]> {
    const startedAtMs = monotonicMs();
    const results: ReadResult[] = [];
    while (results.length === 0 && monotonicMs() - startedAtMs < MAX_DELAY_MS)
      results.push(...((await system.trainer.read(node.url, id, 0)).page?.results ?? []));
    expect(results.length, `results after ${Math.round(monotonicMs() - startedAtMs)} ms`).to.equal(1);
    return results;
  }

  /** Writes the crash records that an earlier build writes after `CRASHES` crashes under each path. */
  function storeEarlierRecords(...paths: readonly string[]): void {
    for (const path of paths)
      for (let count = 1; count <= CRASHES; count += 1)
        system.store.rows.transact({
          put: [
            {
              table: 'jobs',
              part: 'fatal-runs',
              key: `${earlierDigest(path)}/replica-${count}`,
              value: Buffer.from(`127.0.0.1:${count}\n${Date.now()}`, 'utf8').toString('base64'),
            },
          ],
        });
  }

  it('runs an item again at once after three replicas crashed under it', async () => {
    await system.addApplication();
    const engines = await addEndless(() => system.addEngine());
    const node = await startNode('node-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    await crashUnder(itemPath, engines);
    await restartAll(engines);
    expectWhole(await expectListedSoon(node, submitted), submitted);
  });

  it('repeats a scoring call at once after three replicas crashed under it', async () => {
    await system.addEngine();
    const applications = await addEndless(() => system.addApplication());
    const node = await startNode('node-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    await crashUnder(SCORE_PATH, applications);
    await restartAll(applications);
    expectWhole(await expectListedSoon(node, submitted), submitted);
  });

  it('repeats a scoring call ever more slowly while it crashes each replica', async () => {
    await system.addEngine();
    const crashedAtMs: number[] = [];
    const startedAtMs = () =>
      system.replicas
        .flatMap(({ received }) => received)
        .filter(({ path }) => path === SCORE_PATH)
        .map(({ atMs }) => atMs);
    const applications = await Promise.all(SCORING_BACKOFFS_MS.map(() => system.addApplication()));
    for (const replica of applications) {
      replica.fatalPrefix = BODY;
      replica.onFatal = () => crashedAtMs.push(monotonicMs());
    }
    const node = await startNode('node-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    await until('all applications have crashed', () => crashedAtMs.length === applications.length);
    await until('a node has seen the crashes', () => applications.every(hasSeenCrash));
    await system.addApplication();
    expectWhole(await expectListedSoon(node, submitted), submitted);
    const startsMs = startedAtMs().sort((left, right) => left - right);
    for (const [index, backoffMs] of SCORING_BACKOFFS_MS.entries()) {
      const pauseMs = (startsMs[index + 1] as number) - (crashedAtMs[index] as number);
      expect(pauseMs, `pause after crash ${index + 1}`).to.be.at.least(backoffMs - TIMER_TOLERANCE_MS);
    }
  });

  it('runs work whose crashes an earlier build has stored before the node starts', async () => {
    await Promise.all([system.addApplication(), system.addEngine()]);
    storeEarlierRecords(itemPath, SCORE_PATH);
    const node = await startNode('node-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    expectWhole(await expectListedSoon(node, submitted), submitted);
  });

  it('runs work whose crashes a node of an earlier build reports', async () => {
    await Promise.all([system.addApplication(), system.addEngine()]);
    const node = await startNode('node-1');
    storeEarlierRecords(itemPath, SCORE_PATH);
    await until(
      'all reports are received',
      () =>
        node.log.filter(({ message, context }) => message === 'request-suspected' && context.ends === CRASHES)
          .length === 2,
    );
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    expectWhole(await expectListedSoon(node, submitted), submitted);
  });

  it('runs an item at once at the next owner of its job', async () => {
    await system.addApplication();
    const engines = await addEndless(() => system.addEngine());
    const owner = await startNode('node-1');
    const next = await startNode('node-2');
    expect(await system.trainer.submit(owner.url, submitted)).to.equal(202);
    await crashUnder(itemPath, engines);
    await until('the next owner knows the crashes', () =>
      next.log.some(({ message, context }) => message === 'request-suspected' && context.ends === CRASHES),
    );
    await kill(owner);
    await restartAll(engines);
    await until('the job is claimed', () =>
      next.log.some(({ message, context }) => message === 'job-changed' && context.change === 'claimed'),
    );
    expectWhole(await expectListedSoon(next, submitted), submitted);
    const records = system.store.rows.scan('jobs', 'fatal-runs', '', undefined);
    expect(records.filter(({ key }) => key.startsWith(earlierDigest(itemPath)))).to.deep.equal([]);
  });

  it('runs the same item of a later job at once', async () => {
    await system.addApplication();
    const engines = await addEndless(() => system.addEngine());
    const node = await startNode('node-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    await crashUnder(itemPath, engines);
    expect(await system.trainer.end(node.url, submitted.id)).to.equal(200);
    await restartAll(engines);
    const later = { ...submitted, id: 'job-2' };
    expect(await system.trainer.submit(node.url, later, sameItemIn(later))).to.equal(202);
    expectWhole(await expectListedSoon(node, later), later);
  });

  /** Submission of a job whose item has the path and body of the item of `submitted`. */
  function sameItemIn(later: TrainerJob): string {
    const [id] = itemIds(later) as [string];
    const body = Buffer.from(BODY).toString('base64');
    const scorer = { id: `${id}-score`, host: HOST, path: SCORE_PATH, body };
    const item = {
      id,
      path: itemPath,
      headers: { Model: MODEL },
      body,
      tokens: 30,
      group: 'group-0',
      scorer,
    };
    return JSON.stringify({ step: 1, model: MODEL, minVersion: 1, desired: 1, items: [item] });
  }
});
