/** Guards against interrupted texts of a single weight version that all replicas decline until their step is over. */
import { expect } from 'chai';
import { itemIds, type ReadResult } from '../../../../emulator/clients/job-trainer.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { TextVersion } from '../../../../src/coordination/service/jobs/text-version.js';
import { ReplicaState } from '../../../../src/state/service/replicas/index.js';
import { expectWhole, job } from '../../../support/jobs.js';
import { replicaWith } from '../../../support/replicas.js';
import {
  kill,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

const EVENTS = 40;
const EVENT_MS = 40;
/** Longer than any test: the replica keeps its version. */
const ENDLESS_LOAD_MS = 600_000;
/** Items that are still due are dead after this time, seconds. */
const MAX_QUEUE_S = 12;

describe('items of a single weight version', () => {
  let system: ServiceSystem;
  const submitted = job('job-1');

  beforeEach(async () => {
    system = await ServiceSystem.start();
    system.configure(usualConfiguration(2, { jobs: { singleVersion: true, maxQueueS: MAX_QUEUE_S } }));
    await system.addApplication();
  });

  afterEach(() => system.stop());

  async function submitAt(node: ServiceNodeProcess): Promise<void> {
    await system.untilReady(node);
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
  }

  const storedTexts = () =>
    Array.from({ length: 8 }, (_, index) => `jobs-${index}`)
      .flatMap((part) => system.store.rows.scan('job-texts', part, '', undefined))
      .map((row) => JSON.parse(Buffer.from(row.value ?? '', 'base64').toString()) as { versions: number[] });

  const untilTextsOf = (version: number, count: number) =>
    until(
      `${count} texts of version ${version} are stored`,
      () => storedTexts().filter(({ versions }) => versions[0] === version).length >= count,
    );

  async function expectSingleVersions(node: ServiceNodeProcess): Promise<readonly ReadResult[]> {
    const results = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length);
    expectWhole(results, submitted, EVENTS);
    for (const { id, versions } of results) expect(versions, id).to.have.length(1);
    return results;
  }

  const engineWith = (loadMs: number): Promise<ReplicaServer> =>
    system.addEngine({ events: EVENTS, workMs: EVENT_MS, loadMs });

  it('begin anew when the last replica of their version crashes', async () => {
    const [old, next] = await Promise.all([engineWith(ENDLESS_LOAD_MS), engineWith(1)]);
    const node = await system.addNode('node-1');
    system.nameVersion(2);
    await until('one replica has the new version', () => next.versions.get('model-a') === 2);
    await submitAt(node);
    await untilTextsOf(1, 2);
    old.crash();
    const results = await expectSingleVersions(node);
    expect(results.map(({ versions }) => versions[0])).to.deep.equal(results.map(() => 2));
    expect(next.versionDeclines, 'replicas whose version is known to differ are not asked').to.deep.equal([]);
  });

  it('are continued by a replica that still has their version', async () => {
    const [first, second] = await Promise.all([engineWith(ENDLESS_LOAD_MS), engineWith(ENDLESS_LOAD_MS)]);
    const next = await engineWith(1);
    const node = await system.addNode('node-1');
    system.nameVersion(2);
    await until('one replica has the new version', () => next.versions.get('model-a') === 2);
    await submitAt(node);
    await untilTextsOf(1, 3);
    const [crashed, other] = first.running > 0 ? [first, second] : [second, first];
    const interrupted = crashed.received.map(({ id }) => id);
    crashed.crash();
    const results = await expectSingleVersions(node);
    const continued = other.received.filter(
      ({ id, lastEventId }) => interrupted.includes(id) && lastEventId !== undefined,
    );
    expect(continued.length).to.be.greaterThan(0);
    for (const { id } of continued)
      expect(results.find((result) => result.id === id)?.versions).to.deep.equal([1]);
  });

  it('are declined once each by a replica that has not announced its new version yet', async () => {
    const [old, late] = await Promise.all([engineWith(1), engineWith(1)]);
    const node = await system.addNode('node-1');
    await submitAt(node);
    await untilTextsOf(1, 3);
    late.versions.set('model-a', 2);
    old.crash();
    await expectSingleVersions(node);
    expect(late.versionDeclines.length).to.be.greaterThan(0);
    expect(new Set(late.versionDeclines).size).to.equal(late.versionDeclines.length);
  });

  it('begin anew at the next process of their owner when the replicas have moved on', async () => {
    const engines = await Promise.all([engineWith(1), engineWith(1)]);
    const node = await system.addNode('node-1');
    await submitAt(node);
    await untilTextsOf(1, 3);
    await kill(node);
    for (const engine of engines) {
      engine.versions.set('model-a', 2);
      engine.beat();
    }
    system.nameVersion(2);
    await expectSingleVersions(await system.addNode('node-1'));
    expect(engines.flatMap(({ versionDeclines }) => versionDeclines)).to.deep.equal([]);
  });
});

describe('TextVersion', () => {
  const WAIT_MS = 1_000;
  const stateWith = (id: string, version: number) =>
    new ReplicaState(replicaWith({ id, modelVersions: new Map([['m', version]]) }));
  const old = stateWith('old', 1);
  const other = stateWith('other', 2);
  let nowMs: number;

  const textOf = (versions: number[]) => new TextVersion('m', { versions }, () => nowMs);

  beforeEach(() => {
    nowMs = 0;
  });

  it('continues a text only where its version is announced', () => {
    const version = textOf([1]);
    expect([old, other].map((state) => version.allowsContinuationAt(state))).to.deep.equal([true, false]);
    expect([old, other].map((state) => version.mustRestartAt(state))).to.deep.equal([false, true]);
  });

  it('asks a replica once that declines the version which it has announced', () => {
    const version = textOf([1]);
    version.recordMismatch(old);
    expect(version.allowsContinuationAt(old)).to.equal(false);
    expect(version.mustRestartAt(old)).to.equal(true);
  });

  it('waits for a replica that does not take the item for a second after the last progress', () => {
    const version = textOf([1]);
    nowMs = WAIT_MS;
    expect(version.allowsContinuationAt(old)).to.equal(true);
    nowMs += 1;
    expect(version.allowsContinuationAt(old)).to.equal(false);
    expect(version.mustRestartAt(old), 'it still can be continued there').to.equal(false);
    version.recordProgress();
    expect(version.allowsContinuationAt(old)).to.equal(true);
  });

  it('restarts a text of several versions, and none without events', () => {
    expect(textOf([1, 2]).mustRestartAt(old)).to.equal(true);
    expect(textOf([]).mustRestartAt(old)).to.equal(false);
    expect(textOf([]).allowsContinuationAt(old)).to.equal(false);
  });
});
