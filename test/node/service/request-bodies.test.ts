/** What a node takes of a caller's body, and how it refuses the rest. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../emulator/replica/replica-server.js';
import { announcedBody, chunkedBody, type RawBody, RawClient } from '../../support/raw-clients.js';
import {
  HOST,
  JOB_PATH,
  type RouteFields,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const MEGABYTE = 1024 * 1024;
/** As on small machines. */
const NODE_OPTIONS = '--max-old-space-size=192 --max-semi-space-size=2';
const MEMORY_MB = 250;
const LIMIT = 32 * MEGABYTE;
const LONG_MS = 60_000;
const IDLE_MS = 500;
const ITEMS = 20_000;
const CONTINUE = 'HTTP/1.1 100 ';

/** Body of an item in base64; three of them are larger than an object of the store. */
const HUGE_ITEM = 'q83v'.repeat(MEGABYTE);

function hugeJob(): RawBody {
  const items = Array.from({ length: 3 }, (_, index) => ({
    id: `item-${index}`,
    path: `${JOB_PATH}item`,
    headers: { model: 'model-a' },
    body: HUGE_ITEM,
    tokens: 940,
  }));
  return wholeBody(JSON.stringify({ step: 1, model: 'model-a', minVersion: 1, items }));
}

function wholeBody(text: string): RawBody {
  const whole = Buffer.from(text);
  return { framing: `content-length: ${whole.length}\r\n`, pieces: () => [whole] };
}

/** A job of many small items. */
function largeJob(): RawBody {
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: `item-${index}`,
    path: `${JOB_PATH}item`,
    headers: { model: 'model-a', 'token-usage': '540,400', 'prompt-prefix': '9c2e41:300,5d07b8:240' },
    body: 'q83vEjRWeJA='.repeat(4),
    tokens: 940,
    group: `group-${Math.floor(index / 8)}`,
    scorer: { id: `score-${index}`, host: 'service.example', path: '/score/x', body: '3q2+7w==' },
  }));
  return wholeBody(JSON.stringify({ step: 1, model: 'model-a', minVersion: 1, items }));
}

describe('The body of a request', () => {
  let system: ServiceSystem;
  let replica: ReplicaServer;
  let node: ServiceNodeProcess;
  let client: RawClient;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    replica = await system.addApplication({ slots: 4 });
  });

  afterEach(async () => {
    client.close();
    await system.stop();
  });

  async function start(limits: object, lookup: RouteFields = {}): Promise<void> {
    const usual = usualConfiguration(2, { lookup: { timeoutMs: LONG_MS, ...lookup } });
    system.configure({ ...usual, limits: { ...usual.limits, ...limits } });
    node = await system.addNode(
      'node-1',
      { 'limits.memoryMb': String(MEMORY_MB) },
      { environment: { NODE_OPTIONS } },
    );
    await system.untilReady(node);
    client = new RawClient(node.url);
  }

  const untilAnswered = () => until('it is answered', () => client.status ?? client.isClosed);
  const untilClosed = () => until('its connection is closed', () => client.isClosed);
  const hasReached = (id: string) => replica.received.some((request) => request.id === id);

  const LARGEST: readonly [string, RawBody][] = [
    ['announced', announcedBody(LIMIT)],
    ['in chunks', chunkedBody(LIMIT, 64 * 1024, true)],
    ['in small chunks', chunkedBody(LIMIT, 16, true)],
  ];
  for (const [name, body] of LARGEST)
    it(`of the largest size is served in calm, ${name}`, async () => {
      await start({ maxBodyBytes: LIMIT });
      await client.send({ id: 'large' }, body);
      await untilAnswered();
      expect(client.status).to.equal(200);
    });

  it('of a large job is served in calm', async () => {
    await system.addEngine();
    await start({ maxBodyBytes: LIMIT });
    await client.send({ id: 'job', path: `${JOB_PATH}x` }, largeJob());
    await untilAnswered();
    expect(client.status).to.equal(202);
  });

  it('of a job that is larger than an object of the store is served in calm', async () => {
    const engine = await system.addEngine();
    await start({ maxBodyBytes: LIMIT });
    await client.send({ id: 'job', path: `${JOB_PATH}x` }, hugeJob());
    await untilAnswered();
    expect(client.status).to.equal(202);
    await until('its items run', () => engine.received.length === 3);
    const reader = await system.http.exchange({
      method: 'GET',
      url: `${node.url}/items/job?id=item-0`,
      headers: { host: HOST },
    });
    expect(reader._unsafeUnwrap().body.equals(Buffer.from(HUGE_ITEM, 'base64'))).to.equal(true);
  });

  it('is refused by its announced size before any of it has come', async () => {
    await start({ maxBodyBytes: MEGABYTE });
    await client.send({ id: 'large' }, announcedBody(2 * MEGABYTE, 0));
    await untilAnswered();
    expect(client.status).to.equal(413);
    await untilClosed();
  });

  it('is refused by its announced size without the interim answer that would ask for it', async () => {
    await start({ maxBodyBytes: MEGABYTE });
    const request = { id: 'large', extraHead: 'expect: 100-continue\r\n' };
    await client.send(request, announcedBody(2 * MEGABYTE, 0));
    await untilAnswered();
    expect(client.status).to.equal(413);
    expect(client.text).not.to.contain(CONTINUE);
  });

  it('is asked for by an interim answer', async () => {
    await start({ maxBodyBytes: MEGABYTE });
    await client.send({ id: 'large', extraHead: 'expect: 100-continue\r\n' }, announcedBody(8, 0));
    await until('it is asked for', () => client.text.startsWith(CONTINUE));
    await client.write('question');
    await untilAnswered();
    expect(client.status).to.equal(200);
  });

  for (const [name, body] of [
    ['announced', announcedBody(24 * MEGABYTE)],
    ['in chunks', chunkedBody(24 * MEGABYTE, 64 * 1024, true)],
  ] as const)
    it(`is refused with an answer that reaches a client which reads only after the last byte, ${name}`, async () => {
      await start({ maxBodyBytes: MEGABYTE });
      client.pause();
      await client.send({ id: 'large' }, body);
      client.resume();
      await untilAnswered();
      expect(client.status).to.equal(413);
      await untilClosed();
    });

  it('that has no end is cut off after the refusal', async () => {
    await start({ maxBodyBytes: MEGABYTE });
    void client.send({ id: 'endless' }, chunkedBody(4_096 * MEGABYTE, 64 * 1024, true));
    await untilClosed();
    expect(client.hasSent).to.equal(false);
  });

  for (const kind of ['safe', 'unsafe'])
    it(`that makes no progress is ended after the idle time and does not run, ${kind}`, async () => {
      await start({ idleTimeoutMs: IDLE_MS }, { kind });
      await client.send({ id: 'idle' }, announcedBody(100, 99));
      await untilAnswered();
      expect(client.status).to.equal(408);
      await untilClosed();
      expect(hasReached('idle')).to.equal(false);
    });

  it('that is not whole at the deadline is ended and does not run', async () => {
    await start({});
    await client.send({ id: 'late', deadlineMs: IDLE_MS }, announcedBody(100, 99));
    await untilAnswered();
    expect(client.status).to.equal(408);
    await untilClosed();
    expect(hasReached('late')).to.equal(false);
  });
});
