/** Guards against an answer of a replica whose status is no status of HTTP and that reaches a caller. */
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

const ODD_STATUSES = ['000', '099', '100', '199', '600', '999'];
const LOOKUPS = 12;

/** Answers every request whole and signed, with an odd status. */
function answerOddly(replica: ReplicaServer, status: string): void {
  replica.respond = (socket, id) => {
    const headers = `${HEADER.requestId}: ${id}\r\n${HEADER.signature}: signed-${id}\r\ncontent-length: 4\r\n`;
    socket.write(`HTTP/1.1 ${status} Odd\r\n${headers}\r\nodd!`);
    return true;
  };
}

describe('Answers with an odd status', () => {
  let system: ServiceSystem;
  let odd: ReplicaServer;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    odd = await system.addApplication();
  });

  afterEach(() => system.stop());

  async function start(kind: string): Promise<void> {
    system.configure(usualConfiguration(2, { lookup: { kind, timeoutMs: 1_000 } }));
    node = await system.addNode('node-1');
    await system.untilReady(node);
  }

  for (const status of ODD_STATUSES) {
    it(`are not passed on to callers of requests that may run once: ${status}`, async () => {
      answerOddly(odd, status);
      await start('unsafe');
      const answer = await system.lookup(node, 'request-1');
      expect(answer?.status).to.be.oneOf([502, 504]);
      expect(answer?.headers[HEADER.signature]).to.equal(undefined);
      expect(odd.received.map(({ id }) => id)).to.deep.equal(['request-1']);
    });

    it(`are replaced by the answer of another replica where requests may be repeated: ${status}`, async () => {
      answerOddly(odd, status);
      await system.addApplication();
      await start('safe');
      await until('both replicas are known', () => {
        const known = node.log.filter(({ context }) => context.subject === 'replica');
        return known.length === 2;
      });
      for (let index = 0; index < LOOKUPS; index += 1)
        expect((await system.lookup(node, `request-${index}`))?.status, `request ${index}`).to.equal(200);
      expect(odd.received.length).to.be.greaterThan(0);
    });
  }

  it('neither score items nor end them', async () => {
    await system.addEngine();
    answerOddly(odd, '600');
    await start('safe');
    const submitted = job('job-1');
    await system.trainer.submit(node.url, submitted);
    await until('a scoring call was answered oddly', () => odd.received.length > 0);
    odd.respond = undefined;
    const results = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length);
    expectWhole(results, submitted);
  });
});
