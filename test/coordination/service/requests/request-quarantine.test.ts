/**
 * A request that crashes replicas must be quarantined on all nodes: retries, hedges and repeats by the caller
 * would otherwise crash one replica after the other until the whole service rejects requests.
 */
import { expect } from 'chai';
import { itemIds } from '../../../../emulator/clients/job-trainer.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { digestOf } from '../../../../src/coordination/service/dispatch/index.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  HOST,
  JOB_PATH,
  kill,
  LOOKUP_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

const REPLICAS = 4;
const ROUNDS = 6;
/** Maximum number of replicas that one request may crash. */
const MAX_CRASHES = 3;
/** Quarantine after the second crash; the one after the third is longer. */
const SHORT_QUARANTINE_S = 4;
const FATAL_PATH = `${LOOKUP_PATH}fatal`;
const FATAL_BODY = 'ends whoever runs it';
const FATAL_DIGEST = digestOf({
  method: 'POST',
  host: HOST,
  path: FATAL_PATH,
  body: Buffer.from(FATAL_BODY),
});
/** Long enough that a hedge is sent while the replica works. */
const WORK_MS = 300;
/** Least pauses of an item after consecutive crashes. */
const ITEM_BACKOFFS_MS = [100, 200, 400, 800, 1_000, 1_000];
/** Timers may fire this much early. */
const TIMER_TOLERANCE_MS = 2;

describe('RequestQuarantine', () => {
  let system: ServiceSystem;
  let nodes: ServiceNodeProcess[];
  let crashed: ReplicaServer[];
  let requestCount = 0;

  /** Restarts all crashed replicas. */
  async function restartCrashed(): Promise<void> {
    const toRestart = system.replicas.filter(
      (replica) => crashed.includes(replica) && !restarted.has(replica),
    );
    for (const replica of toRestart) {
      restarted.add(replica);
      watch(await system.restartReplica(replica));
    }
  }

  let restarted: Set<ReplicaServer>;

  function watch(replica: ReplicaServer): void {
    replica.fatalPrefix = FATAL_BODY;
    replica.onFatal = () => crashed.push(replica);
  }

  const nextId = () => {
    requestCount += 1;
    return `request-${requestCount}`;
  };

  const knownCrashes = ({ log }: ServiceNodeProcess) =>
    log.filter(({ message, context }) => message === 'request-suspected' && context.digest === FATAL_DIGEST)
      .length;

  /** Sends the crashing request when all nodes know its crashes: one that does not know them may run it. */
  async function sendFatal(node: ServiceNodeProcess) {
    await until('all nodes know all crashes', () =>
      nodes.every((each) => knownCrashes(each) >= crashed.length),
    );
    return system.lookup(node, nextId(), {}, FATAL_PATH, FATAL_BODY);
  }

  /** Sends the crashing request to each node in turn, after restarting crashed replicas. */
  async function sendRepeatedly(rounds: number): Promise<(number | undefined)[]> {
    const statuses: (number | undefined)[] = [];
    for (let round = 0; round < rounds; round += 1) {
      await restartCrashed();
      const node = nodes[round % nodes.length] as ServiceNodeProcess;
      await until(
        'another request is served',
        async () => (await system.lookup(node, nextId()))?.status === 200,
      );
      statuses.push((await sendFatal(node))?.status);
    }
    return statuses;
  }

  beforeEach(async () => {
    crashed = [];
    restarted = new Set();
    system = await ServiceSystem.start();
    for (let count = 0; count < REPLICAS; count += 1)
      watch(await system.addApplication({ workMs: WORK_MS, slots: 8 }));
    nodes = await Promise.all(['node-1', 'node-2', 'node-3'].map((name) => system.addNode(name)));
    for (const node of nodes) await system.untilReady(node);
  });

  afterEach(() => system.stop());

  it('limits a request to three crashed replicas, however often and to whichever node it is sent', async () => {
    const statuses = await sendRepeatedly(ROUNDS);
    expect(crashed.length, statuses.join()).to.be.within(1, MAX_CRASHES);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('rejects a quarantined request with Retry-After without running it', async () => {
    await sendRepeatedly(ROUNDS);
    const before = system.replicas.flatMap((replica) => replica.received).length;
    const answer = await sendFatal(nodes[0] as ServiceNodeProcess);
    expect(answer?.status).to.equal(503);
    expect(Number(answer?.headers['retry-after'])).to.be.greaterThan(0);
    expect(system.replicas.flatMap((replica) => replica.received).length).to.equal(before);
  });

  it('keeps a request quarantined after all nodes were killed', async () => {
    await until('every node has it in long quarantine', async () => {
      await sendRepeatedly(nodes.length);
      const waits: number[] = [];
      for (const node of nodes) waits.push(Number((await sendFatal(node))?.headers['retry-after']));
      return waits.every((wait) => wait > SHORT_QUARANTINE_S);
    });
    const before = crashed.length;
    expect(before).to.equal(MAX_CRASHES);
    await Promise.all(nodes.map((node) => kill(node)));
    nodes = await Promise.all(nodes.map(({ name }) => system.addNode(name)));
    for (const node of nodes) await system.untilReady(node);
    await sendRepeatedly(ROUNDS);
    expect(crashed.length).to.equal(before);
  });

  it('does not quarantine a popular request that runs during each crash', async () => {
    const popular = () =>
      system.lookup(nodes[0] as ServiceNodeProcess, nextId(), {}, `${LOOKUP_PATH}popular`);
    for (let round = 0; round < ROUNDS; round += 1) {
      await restartCrashed();
      const node = nodes[round % nodes.length] as ServiceNodeProcess;
      await until(
        'another request is served',
        async () => (await system.lookup(node, nextId()))?.status === 200,
      );
      await Promise.all([sendFatal(node), popular(), popular(), popular()]);
      await restartCrashed();
      await until('the popular request is served', async () => (await popular())?.status === 200);
    }
    expect(crashed.length).to.be.within(1, MAX_CRASHES);
    expect((await sendFatal(nodes[0] as ServiceNodeProcess))?.status).to.equal(503);
  });

  it('quarantines a request at a node that cannot reach the store, and through it at all others', async () => {
    const [cut, ...served] = nodes as [ServiceNodeProcess, ...ServiceNodeProcess[]];
    await until('the nodes know each other', () =>
      nodes.every((node) => node.log.some(({ context }) => context.subject === 'peers')),
    );
    cut.proxy.set('cut');
    await until('the node has lost the store', async () => (await system.status(cut.readyUrl)) === 503);
    await until('the disconnected node quarantines it', async () => {
      await restartCrashed();
      return (await sendFatal(cut))?.status === 503 && crashed.length > 1;
    });
    await until('all other nodes quarantine it', async () => {
      const statuses: (number | undefined)[] = [];
      for (const node of served) statuses.push((await sendFatal(node))?.status);
      return statuses.every((status) => status === 503);
    });
    expect(crashed.length).to.be.at.most(MAX_CRASHES);
  });

  it('does not affect other requests of the same route and caller', async () => {
    await sendRepeatedly(ROUNDS);
    await restartCrashed();
    for (const node of nodes) {
      expect((await system.lookup(node, nextId(), {}, FATAL_PATH, 'another body'))?.status).to.equal(200);
      expect(
        (await system.lookup(node, nextId(), {}, `${LOOKUP_PATH}y`, FATAL_BODY.slice(1)))?.status,
      ).to.equal(200);
    }
  });
});

describe('RequestQuarantine of job items', () => {
  it('runs an item again after each crash, ever more slowly, until replicas survive it, and lists the other items', async () => {
    const system = await ServiceSystem.start();
    const crashedAtMs: number[] = [];
    const toRestart: ReplicaServer[] = [];
    const watch = (replica: ReplicaServer) => {
      replica.fatalPrefix = FATAL_BODY;
      replica.onFatal = () => {
        crashedAtMs.push(monotonicMs());
        toRestart.push(replica);
      };
    };
    /** A successor hides the crash from a node that has not seen it yet. */
    const restartCrashed = async ({ log }: ServiceNodeProcess) => {
      for (const replica of toRestart.splice(0)) {
        await until('the node has seen the crash', () =>
          log.some(({ context }) => context.replica === replica.id && context.replicaEnded === 'yes'),
        );
        watch(await system.restartReplica(replica));
      }
    };
    try {
      await system.addApplication();
      for (let count = 0; count < 5; count += 1) watch(await system.addEngine());
      const node = await system.addNode('node-1');
      await system.untilReady(node);
      const submitted = job('job-1', { fatalItem: 0, fatalBody: FATAL_BODY });
      const [fatalId] = itemIds(submitted) as [string];
      expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
      await until('the item has crashed more replicas than a lookup may', async () => {
        await restartCrashed(node);
        return crashedAtMs.length > ITEM_BACKOFFS_MS.length;
      });
      const others = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length - 1);
      expect(others.map(({ state }) => state)).to.deep.equal(others.map(() => 'completed'));
      expect(others.map(({ id }) => id)).not.to.include(fatalId);
      for (const replica of system.replicas) replica.fatalPrefix = undefined;
      await restartCrashed(node);
      for (const replica of system.replicas) replica.fatalPrefix = undefined;
      expectWhole(await system.trainer.readAll([node.url], submitted.id, others.length + 1), submitted);
      const startedAtMs = system.replicas
        .flatMap(({ received }) => received)
        .filter(({ path, beganAtMs }) => path === `${JOB_PATH}${fatalId}` && beganAtMs !== undefined)
        .map(({ atMs }) => atMs)
        .sort((left, right) => left - right);
      for (const [index, backoffMs] of ITEM_BACKOFFS_MS.entries()) {
        const pauseMs = (startedAtMs[index + 1] as number) - (crashedAtMs[index] as number);
        expect(pauseMs, `pause after crash ${index + 1}`).to.be.at.least(backoffMs - TIMER_TOLERANCE_MS);
      }
    } finally {
      await system.stop();
    }
  });
});
