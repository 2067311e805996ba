/** Odd records of another writer, in every table that a node follows or reads, end no node and stop no feed. */
import { expect } from 'chai';
import { TABLE } from '../../../platform/names.js';
import { expectWhole, job } from '../../support/jobs.js';
import { ODD_ADDRESSES, ODD_KEYS, ODD_VALUES } from '../../support/odd-records.js';
import {
  kill,
  MODEL,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const EVACUATED_ZONE = 'zone-z';
const FEEDS = 4;
/** A long poll and the pause between two of them, with a margin. */
const MAX_FEED_AGE_SECONDS = 10;

describe('a node beside odd records', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  function put(table: string, key: string, value: Buffer, part = ''): void {
    system.store.rows.transact({ put: [{ table, part, key, value: value.toString('base64') }] });
  }

  /** One record for each odd value, and a valid one under each odd key. */
  function putOddReplicas(prefix: string, valid: object): void {
    ODD_VALUES.forEach(([, value], index) => {
      put(TABLE.replicas, `${prefix}-${index}`, value);
    });
    for (const address of ODD_ADDRESSES)
      put(TABLE.replicas, `${prefix}-${address}`, Buffer.from(JSON.stringify({ ...valid, addr: address })));
    for (const key of ODD_KEYS) put(TABLE.replicas, key, Buffer.from(JSON.stringify(valid)));
  }

  async function expectServed(name: string, count = 12): Promise<void> {
    const answers = await Promise.all(
      Array.from({ length: count }, (_, index) => system.lookup(node, `${name}-${index}`)),
    );
    expect(answers.map((answer) => answer?.status)).to.deep.equal(Array(count).fill(200));
  }

  const FAILURES: readonly unknown[] = [
    'unhandled rejection',
    'uncaught exception',
    'request handler failed',
  ];
  const failures = () =>
    node.log
      .filter(({ message, context }) => message === 'process-changed' && FAILURES.includes(context.change))
      .map(({ context }) => `${context.change}: ${String(context.detail).slice(0, 300)}`);

  async function restart(name: string): Promise<void> {
    node = await system.addNode(name);
    await system.untilReady(node);
  }

  it('follows the replicas among odd ones: at its start, by the feed and after lost history', async () => {
    const first = await system.addApplication();
    putOddReplicas('start', first.row());
    await restart('node-1');
    await expectServed('start');

    putOddReplicas('feed', first.row());
    const second = await system.addApplication();
    await until('a replica announced after them gets requests', async () => {
      await expectServed('feed');
      return second.received.length > 0;
    });

    putOddReplicas('lost', first.row());
    system.store.rows.forgetHistory();
    const third = await system.addApplication();
    await until('a replica announced after the lost history gets requests', async () => {
      await expectServed('lost');
      return third.received.length > 0;
    });

    for (const [, value] of ODD_VALUES) put(TABLE.replicas, third.id, value);
    await until('a replica with an odd record gets no requests', async () => {
      const before = third.received.length;
      await expectServed('odd');
      return third.received.length === before;
    });
    third.announce('ready');
    const before = third.received.length;
    await until('a replica whose record is valid again gets requests', async () => {
      await expectServed('valid');
      return third.received.length > before;
    });
    expect(failures()).to.deep.equal([]);
    expect(node.child.exitCode).to.equal(null);
  });

  /** Keys of the counts of the next windows of a second. */
  const countKeys = () =>
    Array.from({ length: 120 }, (_, index) => {
      const window = Math.floor(Date.now() / 1_000) + index;
      return `${String(window).padStart(12, '0')}/node-0/life`;
    });
  /** Fixed keys of each table; further records stand under keys of their own. */
  const TABLES: readonly (readonly [table: string, part: string, keys: () => readonly string[]])[] = [
    ['op', '', () => ['config', `version/${MODEL}`, `evacuate/${EVACUATED_ZONE}`, 'version/other']],
    ['serving-nodes', '', () => ['node-0', 'node-2']],
    ['sessions', '', () => ['duty/weight-orders', 'duty/usage', 'beat/node-0', 'beat/other']],
    ['jobs', 'jobs-0', () => ['odd-job']],
    ['jobs', 'fatal-runs', () => ['digest/replica', 'digest/served']],
    ['usage-counts', 'usage-0', countKeys],
    ['usage-reports', 'usage-reports', () => ['000000000001', '999999999999']],
  ];

  /** Largest age of a feed, seconds. */
  async function feedAgeSeconds(): Promise<number> {
    const answer = await system.http.exchange({ method: 'GET', url: node.metricsUrl });
    const text = answer._unsafeUnwrap().body.toString();
    const ages = [...text.matchAll(/^thymecove_feed_age_seconds\{[^}]*\} (\S+)$/gm)];
    expect(ages).to.have.length(FEEDS);
    return Math.max(...ages.map(([, age]) => Number(age)));
  }

  async function expectServesAndFollows(version: number): Promise<void> {
    const added = await system.addApplication();
    await until('a replica announced after them gets requests', async () => {
      await expectServed(`served-${version}`);
      return added.received.length > 0;
    });
    const submitted = job(`job-${version}`);
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    expectWhole(await system.trainer.readAll([node.url], submitted.id, 6), submitted);
    system.nameVersion(version);
    await until('the named version is loaded', () =>
      system.replicas.some((replica) => replica.versions.get(MODEL) === version),
    );
    expect(await feedAgeSeconds()).to.be.below(MAX_FEED_AGE_SECONDS);
    expect(failures()).to.deep.equal([]);
    expect(node.child.exitCode).to.equal(null);
  }

  for (const [table, part, keysOf] of TABLES)
    it(`serves, follows changes and runs jobs beside odd records in ${table} ${part}`, async () => {
      await system.reportUsage(1_000, 5_000);
      await Promise.all([system.addApplication(), system.addEngine()]);
      const keys = keysOf();
      const putAll = (prefix: string) =>
        ODD_VALUES.forEach(([, value], index) => {
          for (const key of keys) put(table, key, value, part);
          for (const key of keys.slice(1, 4)) put(table, `${key}-${prefix}-${index}`, value, part);
          put(table, `${prefix}-${index}`, value, part);
        });
      if (table !== 'op') putAll('start');
      await restart('node-1');
      putAll('feed');
      await expectServesAndFollows(2);
      putAll('lost');
      if (table === 'op') system.configure(usualConfiguration(2));
      system.store.rows.forgetHistory();
      await expectServesAndFollows(3);
      if (part !== 'fatal-runs')
        await until('an odd record is reported', () =>
          node.log.some(
            ({ context }) => context.subject === 'record' && String(context.name).startsWith(table),
          ),
        );
    });

  it('goes on with the jobs of a lost owner whose kept texts are odd', async () => {
    await Promise.all([system.addApplication(), system.addEngine({ workMs: 150, events: 20 })]);
    await restart('node-1');
    const owner = node;
    const submitted = job('job-1');
    expect(await system.trainer.submit(owner.url, submitted)).to.equal(202);
    await until('texts are kept', () => partitionWithTexts() !== undefined);
    await restart('node-2');
    const part = partitionWithTexts() as string;
    await kill(owner);
    ODD_VALUES.slice(0, 6).forEach(([, value], index) => {
      put('job-texts', `job-1/job-1-item-${index}`, value, part);
    });
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted, 20);
    expect(failures()).to.deep.equal([]);
  });

  const partitionWithTexts = () =>
    Array.from({ length: 8 }, (_, index) => `jobs-${index}`).find(
      (part) => system.store.rows.scan('job-texts', part, '', undefined).length > 0,
    );
});
