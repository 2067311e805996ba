/** Connections of a crowd must leave a node descriptors for its own work, and room for ordinary callers. */
import { expect } from 'chai';
import { openDescriptors } from '../../support/process-usage.js';
import { announcedBody, RawClient } from '../../support/raw-clients.js';
import { HOST, LOOKUP_PATH, type ServiceNodeProcess, ServiceSystem } from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const CLIENTS = 1_000;
const MAX_DESCRIPTORS = 500;
/** Ordinary requests on new connections, while the crowd stands. */
const ORDINARY_REQUESTS = 20;

const WHOLE_REQUEST = `GET ${LOOKUP_PATH}x HTTP/1.1\r\nhost: ${HOST}\r\n`;

describe('Connections of callers', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;
  let crowd: RawClient[];

  beforeEach(async () => {
    crowd = [];
    system = await ServiceSystem.start();
    await system.addApplication({ slots: 100 });
    node = await system.addNode('node-1', { 'limits.maxFds': String(MAX_DESCRIPTORS) });
    await system.untilReady(node);
  });

  afterEach(async () => {
    for (const client of crowd) client.close();
    await system.stop();
  });

  async function check(open: (index: number) => Promise<RawClient>): Promise<void> {
    const { pid } = node.child;
    const before = openDescriptors(pid as number);
    crowd = await Promise.all(Array.from({ length: CLIENTS }, (_, index) => open(index)));
    expect(openDescriptors(pid as number)).to.be.at.most(MAX_DESCRIPTORS);
    for (let index = 0; index < ORDINARY_REQUESTS; index += 1) await expectServed(`beside-${index}`);
    expect(openDescriptors(pid as number)).to.be.at.most(MAX_DESCRIPTORS);
    for (const client of crowd) client.close();
    await until('the descriptors are back', () => openDescriptors(pid as number) <= before + 16);
    await expectServed('after');
    expect(node.child.exitCode ?? node.child.signalCode).to.equal(null);
  }

  async function expectServed(id: string): Promise<void> {
    const client = new RawClient(node.url);
    await client.send({ id }, announcedBody(8));
    await until(`${id} is answered`, () => client.status ?? client.isClosed);
    client.close();
    expect(client.status, `status of ${id}`).to.equal(200);
  }

  it('that send nothing are bounded', () =>
    check(async () => {
      const client = new RawClient(node.url);
      await client.untilOpen();
      return client;
    }));

  it('that send a part of a head are bounded', () =>
    check(async () => {
      const client = new RawClient(node.url);
      await client.write(WHOLE_REQUEST);
      return client;
    }));

  it('that send a part of a body are bounded', () =>
    check(async (index) => {
      const client = new RawClient(node.url);
      await client.send({ id: `crowd-${index}` }, announcedBody(100, 99));
      return client;
    }));

  it('that are kept after a request are bounded', () =>
    check(async (index) => {
      const client = new RawClient(node.url);
      await client.send({ id: `crowd-${index}` }, announcedBody(8));
      await until('it is answered', () => client.status ?? client.isClosed);
      return client;
    }));

  for (const port of ['readyUrl', 'metricsUrl'] as const)
    it(`of the ${port === 'readyUrl' ? 'readiness' : 'metrics'} port are bounded`, () =>
      check(async () => {
        const client = new RawClient(node[port]);
        await client.untilOpen();
        return client;
      }));
});
