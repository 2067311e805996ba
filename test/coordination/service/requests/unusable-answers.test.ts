/** Guards against a node that ends by itself when it gives up an answer that it cannot use. */
import { expect } from 'chai';
import { itemIds } from '../../../../emulator/clients/job-trainer.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

const LOOKUPS = 20;
/** Heads of short answers that arrive whole, so that nothing is left of them when their head is judged. */
const HEADS: Readonly<Record<string, (id: string) => string>> = {
  unsigned: (id) => `${HEADER.requestId}: ${id}\r\n`,
  unidentified: (id) => `${HEADER.signature}: signed-${id}\r\n`,
  encoded: (id) =>
    `${HEADER.requestId}: ${id}\r\n${HEADER.signature}: signed-${id}\r\ncontent-encoding: gzip\r\n`,
};

function answerUnusably(replica: ReplicaServer, head: (id: string) => string): void {
  replica.respond = (socket, id) => {
    socket.write(`HTTP/1.1 200 OK\r\n${head(id)}content-length: 5\r\n\r\nshort`);
    return true;
  };
}

describe('An answer that cannot be used', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  for (const [defect, head] of Object.entries(HEADS)) {
    // LOST: the process of the node ended with an uncaught error, and all its requests with it.
    it(`fails its request alone when it is ${defect}`, async () => {
      system.configure(usualConfiguration(2, { lookup: { kind: 'unsafe' } }));
      const faulty = await system.addApplication();
      answerUnusably(faulty, head);
      node = await system.addNode('node-1');
      await system.untilReady(node);
      for (let index = 0; index < LOOKUPS; index += 1)
        expect((await system.lookup(node, `request-${index}`))?.status, `request ${index}`).to.equal(502);
      expect(faulty.received).to.have.length(LOOKUPS);
      expect(node.child.exitCode).to.equal(null);
    });

    it(`interrupts its item alone when it is ${defect}`, async () => {
      const engine = await system.addEngine();
      await system.addApplication();
      answerUnusably(engine, head);
      node = await system.addNode('node-1');
      await system.untilReady(node);
      const submitted = job('job-1');
      await system.trainer.submit(node.url, submitted);
      await until('several streams were unusable', () => engine.received.length >= 2);
      engine.respond = undefined;
      const results = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length);
      expectWhole(results, submitted);
      expect(node.child.exitCode).to.equal(null);
    });
  }
});
