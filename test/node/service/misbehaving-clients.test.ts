/** Clients that send too much, or never finish, must neither end a node nor exceed the memory of its machine. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../emulator/replica/replica-server.js';
import { openDescriptors, peakMemoryBytes } from '../../support/process-usage.js';
import { announcedBody, chunkedBody, type RawBody, RawClient } from '../../support/raw-clients.js';
import {
  JOB_PATH,
  LOOKUP_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const KILOBYTE = 1024;
const MEGABYTE = 1024 * 1024;
/** As on small machines. */
const NODE_OPTIONS = '--max-old-space-size=192 --max-semi-space-size=2';
const LONG_MS = 60_000;
/** The memory has levelled off when its peak has not grown for as many polls. */
const LEVEL_POLLS = 20;
/** Descriptors that a node may have opened meanwhile for itself. */
const OWN_DESCRIPTORS = 16;

/** A crowd. Its size and its bounds follow from the target: the memory of a machine. */
interface Crowd {
  readonly name: string;
  readonly clients: number;
  readonly memoryMb: number;
  readonly maxBodyBytes: number;
  readonly body: RawBody;
  readonly path?: string;
}

const LIMIT = 32 * MEGABYTE;

function repeatedItems(item: string, bytes: number): RawBody {
  const text = `{"items":[${item.repeat(Math.floor(bytes / item.length))}`;
  const whole = Buffer.from(`${text.slice(0, -1)}]}`);
  return { framing: `content-length: ${whole.length}\r\n`, pieces: () => [whole] };
}

const UNFINISHED: readonly Crowd[] = [
  {
    name: 'announce large bodies and stop before the last byte',
    clients: 24,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: announcedBody(LIMIT, LIMIT - 1),
  },
  {
    name: 'send large bodies in small pieces and stop before the last byte',
    clients: 24,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: announcedBody(LIMIT, LIMIT - 1, 4 * KILOBYTE),
  },
  {
    name: 'send large chunks without an end',
    clients: 24,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: chunkedBody(LIMIT, 4 * MEGABYTE, false),
  },
  {
    name: 'send chunks of one byte without an end',
    clients: 4,
    memoryMb: 250,
    maxBodyBytes: 2 * MEGABYTE,
    body: chunkedBody(2 * MEGABYTE, 1, false),
  },
  {
    name: 'send chunks of some bytes without an end',
    clients: 24,
    memoryMb: 160,
    maxBodyBytes: 2 * MEGABYTE,
    body: chunkedBody(2 * MEGABYTE, 16, false),
  },
  {
    name: 'are many, with bodies of some megabytes that they do not finish',
    clients: 100,
    memoryMb: 160,
    maxBodyBytes: 4 * MEGABYTE,
    body: announcedBody(4 * MEGABYTE, 4 * MEGABYTE - 1),
  },
  {
    name: 'are very many, with bodies of some kilobytes that they do not finish',
    clients: 800,
    memoryMb: 160,
    maxBodyBytes: 256 * KILOBYTE,
    body: announcedBody(256 * KILOBYTE, 256 * KILOBYTE - 1),
  },
  {
    name: 'announce bodies over the limit',
    clients: 12,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: announcedBody(128 * MEGABYTE),
  },
  {
    name: 'send bodies over the limit without announcing it',
    clients: 12,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: chunkedBody(128 * MEGABYTE, 64 * KILOBYTE, true),
  },
];

const WHOLE: readonly Crowd[] = [
  {
    name: 'send whole large bodies at once',
    clients: 24,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: announcedBody(LIMIT),
  },
  {
    name: 'send whole large bodies at once, chunked',
    clients: 24,
    memoryMb: 250,
    maxBodyBytes: LIMIT,
    body: chunkedBody(LIMIT, 64 * KILOBYTE, true),
  },
  {
    name: 'send whole bodies of some megabytes at once',
    clients: 100,
    memoryMb: 160,
    maxBodyBytes: 4 * MEGABYTE,
    body: announcedBody(4 * MEGABYTE),
  },
];

const JOBS: readonly Crowd[] = [
  ['empty objects', '{},'],
  ['empty lists', '[],'],
  ['empty texts', '"",'],
  ['lists within lists', '['],
].map(([name, item]) => ({
  name: `submit a job of ${name}`,
  clients: 2,
  memoryMb: 250,
  maxBodyBytes: LIMIT,
  body: repeatedItems(item as string, 16 * MEGABYTE),
  path: `${JOB_PATH}x`,
}));

describe('A node withstands clients that', () => {
  let system: ServiceSystem;
  let replica: ReplicaServer;
  let node: ServiceNodeProcess;
  let crowd: RawClient[];

  beforeEach(async () => {
    crowd = [];
    system = await ServiceSystem.start();
    replica = await system.addApplication({ slots: 1_000 });
  });

  afterEach(async () => {
    for (const client of crowd) client.close();
    await system.stop();
  });

  async function startNode({ memoryMb, maxBodyBytes }: Crowd): Promise<void> {
    const usual = usualConfiguration(2, { lookup: { timeoutMs: LONG_MS } });
    system.configure({ ...usual, limits: { ...usual.limits, maxBodyBytes } });
    node = await system.addNode(
      'node-1',
      { 'limits.memoryMb': String(memoryMb) },
      { environment: { NODE_OPTIONS } },
    );
    await system.untilReady(node);
  }

  /** Opens the crowd; resolves when every client has sent what it sends, or the node has ended its connection. */
  async function send({ clients, body, path }: Crowd): Promise<void> {
    crowd = Array.from({ length: clients }, () => new RawClient(node.url));
    await Promise.all(crowd.map((client, index) => client.send({ id: `crowd-${index}`, path }, body)));
  }

  async function untilMemoryIsLevel(): Promise<void> {
    let peak = 0;
    let polls = 0;
    await until('the memory has levelled off', () => {
      if (node.child.exitCode !== null || node.child.signalCode !== null) return true;
      const now = peakMemoryBytes(node.child.pid as number);
      polls = now > peak ? 0 : polls + 1;
      peak = now;
      return polls >= LEVEL_POLLS;
    });
  }

  function expectWithin({ memoryMb }: Crowd): void {
    expect(node.child.exitCode ?? node.child.signalCode, 'the process lives').to.equal(null);
    expect(peakMemoryBytes(node.child.pid as number) / MEGABYTE, 'peak memory, MB').to.be.below(memoryMb);
  }

  async function expectServed(id: string): Promise<void> {
    const answer = await system.lookup(node, id, { 'deadline-ms': '20000' });
    expect(answer?.status, `status of ${id}`).to.equal(200);
  }

  /** What the crowd may have brought about, while it stands and after it has gone. */
  async function check(crowdCase: Crowd): Promise<void> {
    await expectServed('before');
    const descriptors = openDescriptors(node.child.pid as number);
    await send(crowdCase);
    await untilMemoryIsLevel();
    expectWithin(crowdCase);
    await expectServed('beside');
    for (const client of crowd) client.close();
    await until(
      'the descriptors are back',
      () => openDescriptors(node.child.pid as number) <= descriptors + OWN_DESCRIPTORS,
    );
    await expectServed('after');
    expectWithin(crowdCase);
  }

  const runIds = () => replica.received.filter(({ id }) => id.startsWith('crowd')).map(({ id }) => id);

  for (const crowdCase of UNFINISHED)
    it(crowdCase.name, async () => {
      await startNode(crowdCase);
      await check(crowdCase);
      expect(runIds()).to.deep.equal([]);
    });

  for (const crowdCase of WHOLE)
    it(`${crowdCase.name}, and runs none that it refused`, async () => {
      await startNode(crowdCase);
      await check(crowdCase);
      const refused = crowd.flatMap(({ status }, index) => (status === 503 ? [`crowd-${index}`] : []));
      const runs = new Set(runIds());
      expect(refused.filter((id) => runs.has(id))).to.deep.equal([]);
      expect(crowd.some(({ status }) => status === 200)).to.equal(true);
    });

  for (const crowdCase of JOBS)
    it(crowdCase.name, async () => {
      await startNode(crowdCase);
      await check(crowdCase);
      expect(crowd.filter(({ status }) => status !== undefined && status < 400)).to.deep.equal([]);
    });

  it('are many at three nodes of which one dispatches', async () => {
    const crowdCase: Crowd = {
      name: '',
      clients: 900,
      memoryMb: 160,
      maxBodyBytes: LIMIT,
      body: announcedBody(250 * KILOBYTE),
    };
    replica.workMs = 3_000;
    await startNode(crowdCase);
    const settings = { 'limits.memoryMb': String(crowdCase.memoryMb) };
    const others = [
      await system.addNode('node-2', settings, { environment: { NODE_OPTIONS } }),
      await system.addNode('node-3', settings, { environment: { NODE_OPTIONS } }),
    ];
    for (const other of others) await system.untilReady(other);
    const nodes = [node, ...others];
    crowd = Array.from(
      { length: crowdCase.clients },
      (_, index) => new RawClient((nodes[index % nodes.length] as ServiceNodeProcess).url),
    );
    await Promise.all(
      crowd.map((client, index) =>
        client.send({ id: `crowd-${index}`, deadlineMs: 30_000, path: `${LOOKUP_PATH}x` }, crowdCase.body),
      ),
    );
    await untilMemoryIsLevel();
    for (const client of crowd) client.close();
    for (const one of nodes) {
      node = one;
      expectWithin(crowdCase);
      await expectServed(`after-${one.name}`);
    }
  });
});
