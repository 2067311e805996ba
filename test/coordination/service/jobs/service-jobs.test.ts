/**
 * Batch jobs on serving nodes: accepted once, run by one owner at a time and listed once, also when owners
 * fail or the store is unavailable.
 */
import { expect } from 'chai';
import { itemIds } from '../../../../emulator/clients/job-trainer.js';
import { expectWhole, job } from '../../../support/jobs.js';
import { kill, MODEL, type ServiceNodeProcess, ServiceSystem } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Limit for a refusal without a call to the store, which may take 3 s. */
const REFUSAL_LIMIT_MS = 1_500;

describe('batch jobs on serving nodes', () => {
  let system: ServiceSystem;
  let nodes: ServiceNodeProcess[];

  beforeEach(async () => {
    system = await ServiceSystem.start();
    nodes = [];
  });

  afterEach(() => system.stop());

  async function startNodes(count: number): Promise<string[]> {
    nodes = await Promise.all(
      Array.from({ length: count }, (_, index) => system.addNode(`node-${index + 1}`)),
    );
    await Promise.all(nodes.map((node) => system.untilReady(node)));
    return nodes.map((node) => node.url);
  }

  const ownerOf = (jobId: string) =>
    system.store.rows
      .scan('jobs', partition(jobId), jobId, undefined)
      .map(
        (row) => JSON.parse(Buffer.from(row.value ?? '', 'base64').toString()) as { owner: { node: string } },
      )
      .at(0)?.owner?.node;

  const partition = (jobId: string) =>
    Array.from({ length: 8 }, (_, index) => `jobs-${index}`).find(
      (part) => system.store.rows.scan('jobs', part, jobId, `${jobId}~`).length > 0,
    ) ?? '';

  const nodeNamed = (name: string | undefined) =>
    nodes.find((node) => node.name === name) as ServiceNodeProcess;

  it('runs a job from its submission to the last result, read at any node', async () => {
    await Promise.all([system.addEngine(), system.addEngine(), system.addApplication()]);
    const urls = await startNodes(2);
    const submitted = job('job-1');
    expect(await system.trainer.submit(urls[0] as string, submitted)).to.equal(202);
    const results = await system.trainer.readAll(urls, 'job-1', 6);
    expectWhole(results, submitted);
    for (const url of urls) {
      const { page } = await system.trainer.read(url, 'job-1', 2);
      expect(page?.results).to.deep.equal(results.slice(2));
      expect(page?.nextToken).to.equal(6);
    }
    expect((await system.trainer.item(urls[1] as string, 'job-1', 'job-1-item-0')).body).to.equal('prompt');
    expect(await system.trainer.end(urls[1] as string, 'job-1')).to.equal(200);
    expect(await system.trainer.end(urls[0] as string, 'job-1')).to.equal(200);
    expect((await system.trainer.read(urls[0] as string, 'no-such-job', 0)).status).to.equal(404);
  });

  it('accepts a job once, however often and at whichever node it is submitted', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    const urls = await startNodes(3);
    const submitted = job('job-1');
    const statuses = await Promise.all(
      [...urls, ...urls].map((url) => system.trainer.submit(url, submitted)),
    );
    expect(statuses).to.deep.equal([202, 202, 202, 202, 202, 202]);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), submitted);
    const runs = engine.received.filter((request) => request.id === 'job-1-item-0');
    expect(runs).to.have.length(1);
  });

  it('accepts a job whose transaction was committed but not answered', async () => {
    await Promise.all([system.addEngine(), system.addApplication()]);
    const urls = await startNodes(1);
    system.store.answersToLose = 1;
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'));
  });

  it('never answers 503 for a job that may still be accepted', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    const urls = await startNodes(1);
    system.store.mode = 'silent';
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(504);
    system.store.mode = 'busy';
    expect(await system.trainer.submit(urls[0] as string, job('job-2'))).to.equal(503);
    system.store.mode = 'answering';
    expect(await system.trainer.submit(urls[0] as string, job('job-3'))).to.equal(202);
    await system.trainer.readAll(urls, 'job-3', 6);
    expect(engine.received.some((request) => request.id.startsWith('job-2'))).to.equal(false);
  });

  it('does not run a job that was ended before its delayed acceptance reached the store', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    const urls = await startNodes(1);
    system.store.transactionsToDelay = 1;
    system.store.lateMs = 3_500;
    system.store.onTransaction = () => {
      system.store.mode = 'silent';
    };
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(504);
    system.store.onTransaction = undefined;
    system.store.mode = 'answering';
    expect(await system.trainer.end(urls[0] as string, 'job-1')).to.equal(200);
    const after = job('job-2');
    expect(await system.trainer.submit(urls[0] as string, after)).to.equal(202);
    await system.trainer.readAll(urls, 'job-2', 6);
    await until('the late transaction has arrived', () => system.store.transactionsToDelay === 0);
    expect(engine.received.some((request) => request.id.startsWith('job-1-'))).to.equal(false);
  });

  it('continues the job of a killed owner, and lists every result once', async () => {
    const events = 30;
    await Promise.all([system.addEngine({ events, workMs: 60 }), system.addEngine({ events, workMs: 60 })]);
    await system.addApplication();
    const urls = await startNodes(3);
    const submitted = job('job-1');
    expect(await system.trainer.submit(urls[0] as string, submitted)).to.equal(202);
    await until(
      'texts are stored',
      () => system.store.rows.scan('job-texts', partition('job-1'), '', undefined).length > 0,
    );
    await kill(nodeNamed(ownerOf('job-1')));
    const results = await system.trainer.readAll(urls.slice(1), 'job-1', 6);
    expectWhole(results, submitted, events);
    const resumed = system.replicas.flatMap((replica) => replica.received).filter((run) => run.lastEventId);
    expect(resumed.length, 'stored texts are resumed').to.be.greaterThan(0);
  });

  it('claims a job at once in the next process of the same node', async () => {
    await system.addEngine({ events: 40, workMs: 50 });
    await system.addApplication();
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    await kill(nodes[0] as ServiceNodeProcess);
    const next = await system.addNode('node-1');
    const claimed = await until('the job is claimed', () =>
      next.log.find((record) => record.context.change === 'claimed'),
    );
    expect(claimed.context.detail).to.equal('held by an earlier process of this node');
    expectWhole(await system.trainer.readAll([next.url], 'job-1', 6), job('job-1'), 40);
  });

  it('keeps one list of results when a paused owner resumes after it was replaced', async () => {
    await system.addEngine({ events: 40, workMs: 60 });
    await system.addApplication();
    const urls = await startNodes(2);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    const owner = nodeNamed(ownerOf('job-1'));
    owner.child.kill('SIGSTOP');
    await until('another node owns it', () => ownerOf('job-1') !== owner.name);
    owner.child.kill('SIGCONT');
    const results = await system.trainer.readAll(urls, 'job-1', 6);
    expectWhole(results, job('job-1'), 40);
    await until('the former owner notices its replacement', () =>
      owner.log.some((record) => record.context.change === 'taken by another owner'),
    );
    for (const url of urls) expect(await system.trainer.readAll([url], 'job-1', 6)).to.deep.equal(results);
  });

  it('leaves a job with its owner during an outage of the store', async () => {
    await system.addEngine({ events: 60, workMs: 80 });
    await system.addApplication();
    const urls = await startNodes(2);
    expect(await system.trainer.submit(urls[0] as string, job('job-1', { groups: 1 }))).to.equal(202);
    const owner = ownerOf('job-1');
    system.store.mode = 'silent';
    const answer = await system.trainer.read(urls[1] as string, 'job-1', 0);
    expect(answer.status).to.equal(503);
    system.store.mode = 'answering';
    expectWhole(await system.trainer.readAll(urls, 'job-1', 2), job('job-1', { groups: 1 }), 60);
    expect(ownerOf('job-1')).to.equal(owner);
    for (const { log } of nodes)
      expect(log.some(({ context }) => context.change === 'runs cancelled')).to.equal(false);
  });

  /** Waits until each of two nodes knows the address of the other. */
  const untilPeersKnown = () =>
    until('the nodes know each other', () =>
      nodes.every(({ log }) =>
        log.some(({ context }) => context.subject === 'peers' && context.change === '1 known'),
      ),
    );

  it('cancels the runs of an owner that the store rejects while it serves others, which frees the slots', async () => {
    const engine = await system.addEngine({ events: 60, workMs: 100 });
    await system.addApplication();
    const urls = await startNodes(2);
    await untilPeersKnown();
    const submitted = job('job-1', { groups: 1 });
    expect(await system.trainer.submit(urls[0] as string, submitted)).to.equal(202);
    await until('items run', () => engine.running === 2);
    const owner = nodeNamed(ownerOf('job-1'));
    owner.proxy.set('cut');
    await until('its runs are cancelled', () =>
      owner.log.some(({ context }) => context.jobId === 'job-1' && context.change === 'runs cancelled'),
    );
    await until('another node owns it', () => ownerOf('job-1') !== owner.name);
    const others = nodes.filter(({ name }) => name !== owner.name).map(({ url }) => url);
    expectWhole(await system.trainer.readAll(others, 'job-1', 2), submitted, 60);
    expect(engine.received.length, 'requests: two of the first owner, two of the next one').to.equal(4);
  });

  it('resumes a job at its owner when the store serves it again before another node claims the job', async () => {
    await system.addEngine({ events: 60, workMs: 60 });
    await system.addApplication();
    const urls = await startNodes(2);
    await untilPeersKnown();
    const submitted = job('job-1', { groups: 1 });
    expect(await system.trainer.submit(urls[0] as string, submitted)).to.equal(202);
    const owner = nodeNamed(ownerOf('job-1'));
    owner.proxy.set('cut');
    await until('its runs are cancelled', () =>
      owner.log.some(({ context }) => context.jobId === 'job-1' && context.change === 'runs cancelled'),
    );
    owner.proxy.set('pass');
    expectWhole(await system.trainer.readAll(urls, 'job-1', 2), submitted, 60);
  });

  it('accepts, reads and ends jobs at a node that the store rejects, by forwarding the calls', async () => {
    await system.addEngine({ events: 20, workMs: 20 });
    await system.addApplication();
    const urls = await startNodes(3);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    const cutOff = nodes.find(({ name }) => name !== ownerOf('job-1')) as ServiceNodeProcess;
    await until(
      'the job is known',
      async () => (await system.trainer.read(cutOff.url, 'job-1', 0)).status === 200,
    );
    await until('it knows the other nodes', () =>
      cutOff.log.some(({ context }) => context.subject === 'peers' && context.change === '2 known'),
    );
    cutOff.proxy.set('freeze');
    const submitted = job('job-2', { groups: 1 });
    expect(await system.trainer.submit(cutOff.url, submitted)).to.equal(202);
    expect(ownerOf('job-2')).to.equal(ownerOf('job-1'));
    const [itemId] = itemIds(submitted);
    expect((await system.trainer.item(cutOff.url, 'job-2', itemId as string)).status).to.equal(200);
    expectWhole(await system.trainer.readAll([cutOff.url], 'job-2', 2), submitted, 20);
    expect((await system.trainer.read(cutOff.url, 'unknown', 0)).status).to.equal(404);
    expect(await system.trainer.end(cutOff.url, 'job-2')).to.equal(200);
    for (const call of ['submit', 'read', 'item', 'end'])
      await until(`the log records the call ${call}`, () =>
        cutOff.log.some(({ message, context }) => message === 'job-call-passed-on' && context.call === call),
      );
  });

  it('rejects a job when the store serves no node to which calls are forwarded', async () => {
    await system.addEngine();
    await system.addApplication();
    const urls = await startNodes(2);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    await until('all know the job', async () =>
      (await Promise.all(urls.map((url) => system.trainer.read(url, 'job-1', 0)))).every(
        ({ status }) => status === 200,
      ),
    );
    system.store.mode = 'busy';
    for (const url of urls) expect(await system.trainer.submit(url, job('job-2'))).to.equal(503);
    system.store.mode = 'answering';
    expect(await system.trainer.submit(urls[1] as string, job('job-3', { groups: 1 }))).to.equal(202);
    await system.trainer.readAll(urls, 'job-3', 2);
    expect(ownerOf('job-2')).to.equal(undefined);
  });

  it('refuses reads at once at nodes that the store rejects, which are not ready', async () => {
    await system.addEngine({ events: 60, workMs: 80 });
    await system.addApplication();
    const urls = await startNodes(3);
    const submitted = job('job-1', { groups: 1 });
    expect(await system.trainer.submit(urls[0] as string, submitted)).to.equal(202);
    const others = nodes.filter(({ name }) => name !== ownerOf('job-1'));
    await until('all know the job', async () => {
      const pages = await Promise.all(urls.map((url) => system.trainer.read(url, 'job-1', 0)));
      return pages.every(({ status }) => status === 200);
    });
    for (const { proxy } of nodes) proxy.set('freeze');
    for (const { name, readyUrl } of others)
      await until(`${name} is not ready`, async () => (await system.status(readyUrl)) === 503);
    const startedAtMs = performance.now();
    for (const { url } of others) expect((await system.trainer.read(url, 'unknown', 0)).status).to.equal(503);
    expect(performance.now() - startedAtMs).to.be.lessThan(REFUSAL_LIMIT_MS);
    for (const { proxy } of nodes) proxy.set('pass');
    for (const node of others) await system.untilReady(node);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 2), submitted, 60);
  });

  it('hands a job over to another node when its owner is stopped', async () => {
    await system.addEngine({ events: 200, workMs: 60 });
    await system.addApplication();
    const urls = await startNodes(2);
    expect(await system.trainer.submit(urls[0] as string, job('job-1', { groups: 1 }))).to.equal(202);
    const owner = nodeNamed(ownerOf('job-1'));
    owner.child.kill('SIGTERM');
    await until('another node owns it', () => {
      const name = ownerOf('job-1');
      return name !== undefined && name !== owner.name;
    });
    await until('the process has ended', () => owner.child.exitCode === 0);
  });

  it('stops an ended job: no more of its requests reach a replica', async () => {
    const engine = await system.addEngine({ events: 2_000, workMs: 20, slots: 2 });
    await system.addApplication();
    const urls = await startNodes(2);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    await until('items run', () => engine.running > 0);
    expect(await system.trainer.end(urls[1] as string, 'job-1')).to.equal(200);
    await until('the replica is free', () => engine.running === 0);
    const before = engine.received.length;
    expect(
      await system.trainer.submit(urls[0] as string, job('job-2', { groups: 1, minVersion: 9 })),
    ).to.equal(202);
    expect(engine.received.length).to.equal(before);
  });

  it('continues a broken stream after its last complete event', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    // One per concurrent stream, so that a resumed stream is not broken again.
    engine.streamsToBreak = 4;
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'));
    expect(engine.received.filter((run) => run.lastEventId === '2').length).to.equal(4);
  });

  it('does not accept a stream as complete that ended by connection close', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    engine.unframedStreams = 4;
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'));
  });

  it('does not accept a signature as the score when the response may be truncated', async () => {
    await system.addEngine();
    const application = await system.addApplication();
    application.unframedCuts = 6;
    application.cutsByReset = false;
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'));
    expect(application.received.length).to.be.at.least(12);
  });

  it('continues at another replica when a replica is silent or crashes', async () => {
    const [silent, crashing, sound] = await Promise.all(
      [1, 2, 3].map(() => system.addEngine({ events: 20, workMs: 50 })),
    );
    await system.addApplication();
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    await until('all run', () => [silent, crashing, sound].every((engine) => (engine?.running ?? 0) > 0));
    if (silent) silent.isSilent = true;
    crashing?.crash();
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'), 20);
  });

  it('lists an item as dead after the failures that the route allows, but not before', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    engine.failWith = 500;
    const urls = await startNodes(1);
    expect(
      await system.trainer.submit(urls[0] as string, job('job-1', { groups: 1, groupSize: 1 })),
    ).to.equal(202);
    const [result] = await system.trainer.readAll(urls, 'job-1', 1);
    expect(result?.state).to.equal('dead');
    expect(engine.received).to.have.length(3);
  });

  it('retries a scoring call until it succeeds', async () => {
    await system.addEngine();
    const application = await system.addApplication();
    application.isSilent = true;
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    await until('scoring was tried', () => system.replicas[1]?.connectionCount() !== 0);
    application.isSilent = false;
    expectWhole(await system.trainer.readAll(urls, 'job-1', 6), job('job-1'));
  });

  it('reports the weight versions that generated a text, and uses none below the minimum', async () => {
    const [old, fresh] = await Promise.all([
      system.addEngine(),
      system.addEngine({ models: { [MODEL]: 2 } }),
    ]);
    await system.addApplication();
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1', { minVersion: 2 }))).to.equal(202);
    const results = await system.trainer.readAll(urls, 'job-1', 6);
    for (const result of results) expect(result.versions).to.deep.equal([2]);
    expect(old?.received).to.have.length(0);
    expect(fresh?.received.length).to.be.at.least(6);
  });

  it('discards an event whose weight version cannot be parsed', async () => {
    const engine = await system.addEngine();
    await system.addApplication();
    engine.unreadableVersions = 2;
    const urls = await startNodes(1);
    expect(await system.trainer.submit(urls[0] as string, job('job-1'))).to.equal(202);
    const results = await system.trainer.readAll(urls, 'job-1', 6);
    expectWhole(results, job('job-1'));
    for (const result of results) expect(result.versions).to.deep.equal([1]);
    expect(engine.received.filter((run) => run.lastEventId === '1').length).to.equal(2);
  });

  it('stores a submission that is larger than a record', async () => {
    await Promise.all([system.addEngine({ slots: 8 }), system.addApplication({ slots: 50 })]);
    const urls = await startNodes(2);
    const large = job('job-1', { groups: 150, groupSize: 4 });
    expect(await system.trainer.submit(urls[0] as string, large)).to.equal(202);
    expectWhole(await system.trainer.readAll(urls, 'job-1', 600), large);
  });
});
