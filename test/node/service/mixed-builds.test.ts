/** Nodes of an earlier build beside current ones, as during an upgrade: node processes of both builds. */
import { expect } from 'chai';
import type { TrainerJob } from '../../../emulator/clients/job-trainer.js';
import type { ReplicaServer } from '../../../emulator/replica/replica-server.js';
import { rankDispatchers } from '../../../src/state/service/replicas/dispatcher-selection.js';
import { buildOlder, isInHistory, type OlderBuild } from '../../support/older-build.js';
import {
  APPLICATION_SERVICE,
  HOST,
  JOB_PATH,
  PROGRAM,
  SCORING_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const OLDER_COMMIT = '77d6b4f';
/** More nodes than slots per application replica, so that scoring calls go through a dispatcher. */
const NAMES = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5'];
const OLDER_NODES = 2;
const APPLICATION_SLOTS = 3;
const EVENTS = 40;
const EVENT_MS = 60;
const MODELS = ['model-a', 'model-b'];
const GROUPS = 2;
const GROUP_SIZE = 3;

type Build = 'older' | 'current';

function jobOf(model: string): TrainerJob {
  const scoringPath = `${SCORING_PATH}x`;
  return {
    id: `job-of-${model}`,
    host: HOST,
    path: JOB_PATH,
    model,
    minVersion: 1,
    groups: GROUPS,
    groupSize: GROUP_SIZE,
    scoringPath,
  };
}

/** The usual configuration with all models. */
function configuration(): object {
  const { services, ...usual } = usualConfiguration(1);
  const [engine, ...others] = services;
  const models = MODELS.map((name) => ({ name }));
  return { ...usual, services: [{ ...engine, engine: { ...engine?.engine, models } }, ...others] };
}

/** Names in the order in which nodes dispatch for the scoring service. */
function namesByRank(): string[] {
  const members = NAMES.map((name) => ({ name, peerAddress: '', zone: 'zone-a', capacity: 1 }));
  return rankDispatchers(APPLICATION_SERVICE, members).map(({ name }) => name);
}

describe('nodes of an earlier build beside current ones', () => {
  if (!isInHistory(OLDER_COMMIT)) {
    // On standard error, which CI shows.
    process.stderr.write(
      `COULD NOT RUN: old and new builds side by side, the history lacks ${OLDER_COMMIT}; `,
    );
    process.stderr.write('its recorded messages are played instead\n');
    return;
  }

  let older: OlderBuild;
  let system: ServiceSystem;
  let engines: ReplicaServer[];
  let nodes: Map<string, ServiceNodeProcess>;
  let builds: Map<string, Build>;
  /** Names of nodes that have been signalled. */
  let leaving: Set<string>;

  before(async () => {
    older = await buildOlder(OLDER_COMMIT);
  });

  after(() => older.remove());

  afterEach(() => system.stop());

  async function startNode(name: string): Promise<void> {
    const program = builds.get(name) === 'older' ? older.program : PROGRAM;
    const node = await system.addNode(name, {}, { program });
    nodes.set(name, node);
    await system.untilReady(node);
  }

  async function start(dispatcher: Build): Promise<void> {
    system = await ServiceSystem.start();
    system.configure(configuration());
    const models = Object.fromEntries(MODELS.map((model) => [model, 1]));
    engines = await Promise.all(
      [1, 2].map(() => system.addEngine({ models, events: EVENTS, workMs: EVENT_MS })),
    );
    await Promise.all([1, 2].map(() => system.addApplication({ slots: APPLICATION_SLOTS })));
    const ranked = dispatcher === 'older' ? namesByRank() : namesByRank().reverse();
    builds = new Map(ranked.map((name, at) => [name, at < OLDER_NODES ? 'older' : 'current']));
    nodes = new Map();
    leaving = new Set();
    await Promise.all(NAMES.map(startNode));
  }

  const isRunning = ({ child }: ServiceNodeProcess) => child.exitCode === null && child.signalCode === null;

  /** Running nodes of a build; the dispatcher comes last. */
  const nodesOf = (build: Build) =>
    namesByRank()
      .reverse()
      .map((name) => nodes.get(name) as ServiceNodeProcess)
      .filter((node) => builds.get(node.name) === build && !leaving.has(node.name) && isRunning(node));

  const ownerOf = (jobId: string) =>
    Array.from({ length: 8 }, (_, part) => system.store.rows.scan('jobs', `jobs-${part}`, jobId, `${jobId}~`))
      .flat()
      .map(({ value }) => JSON.parse(Buffer.from(value ?? '', 'base64').toString('utf8')))
      .map(({ owner }: { owner: { node: string } | null }) => owner?.node)[0];

  const scoredAt = (name: string) =>
    system.nodes
      .filter((node) => node.name === name)
      .flatMap(({ log }) => log)
      .filter(
        ({ message, context }) =>
          message === 'attempt-ended' &&
          String(context.requestId).endsWith('-score') &&
          context.outcome === '200',
      ).length;

  async function lookUpEverywhere(): Promise<void> {
    for (const node of nodes.values()) {
      const answer = await system.lookup(node, `lookup-${node.name}-${node.child.pid}`);
      expect(answer?.status, `${node.name}: ${answer?.body}`).to.equal(200);
    }
  }

  /** Results are the same at nodes of both builds, whole, and scored by their own calls. */
  async function expectWhole(job: TrainerJob): Promise<void> {
    const urls = (['older', 'current'] as const).map((build) => nodesOf(build).map(({ url }) => url));
    const lists = await Promise.all(
      urls
        .filter((some) => some.length > 0)
        .map((some) => system.trainer.readAll(some, job.id, GROUPS * GROUP_SIZE)),
    );
    for (const list of lists) expect(list).to.deep.equal(lists[0]);
    for (const { id, state, score } of lists[0] ?? []) {
      expect(state, id).to.equal('completed');
      expect(score).to.equal(`signed-${id}-score`);
    }
    expect(await system.trainer.end(urls.flat()[0] as string, job.id)).to.equal(200);
  }

  /** Ends one owner after the other until a node of the other build has the job; restarts all of them. */
  async function handOver(job: TrainerJob, from: Build, signal: NodeJS.Signals): Promise<void> {
    const ended: ServiceNodeProcess[] = [];
    for (
      let owner = ownerOf(job.id) as string;
      builds.get(owner) === from;
      owner = ownerOf(job.id) as string
    ) {
      const node = nodes.get(owner) as ServiceNodeProcess;
      leaving.add(owner);
      ended.push(node);
      node.child.kill(signal);
      await until(`${job.id} leaves ${owner}`, () => ![owner, undefined].includes(ownerOf(job.id)));
    }
    await expectWhole(job);
    await until('the owners are gone', () => !ended.some(isRunning));
    for (const { name } of ended) leaving.delete(name);
    await Promise.all(ended.map(({ name }) => startNode(name)));
  }

  for (const [dispatcher, older, current] of [
    ['older', 'SIGTERM', 'SIGKILL'],
    ['current', 'SIGKILL', 'SIGTERM'],
  ] as const)
    it(`serve, score and hand jobs over through a dispatcher of the ${dispatcher} build`, async () => {
      await start(dispatcher);
      await lookUpEverywhere();
      for (const [at, [build, signal]] of [
        ['older', older] as const,
        ['current', current] as const,
      ].entries()) {
        const job = jobOf(MODELS[at] as string);
        const [owner] = nodesOf(build);
        expect(await system.trainer.submit(owner?.url as string, job)).to.equal(202);
        expect(ownerOf(job.id)).to.equal(owner?.name);
        await until(`items of ${job.id} run`, () => engines.some(({ running }) => running > 0));
        await handOver(job, build, signal);
        await lookUpEverywhere();
      }
      expect(scoredAt(namesByRank()[0] as string)).to.be.greaterThan(0);
    });
});
