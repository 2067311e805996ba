/** Guards against answers of replicas that are cut off in their head or body and reach a caller as whole ones. */
import { expect } from 'chai';
import { itemIds } from '../../../../emulator/clients/job-trainer.js';
import {
  type AnswerCut,
  type Framing,
  sendCut,
  wholeAnswer,
  wholeStream,
} from '../../../../emulator/replica/cut-answers.js';
import { eventData } from '../../../../emulator/replica/replica-answers.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import type { BufferedResponse } from '../../../../src/transport/http-client.js';
import { untilDispatcherIsKnown } from '../../../support/dispatchers.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';

/** More nodes than slots per replica, so that the service has a dispatcher. */
const NODES = 5;
const SLOTS = 3;
const CONCURRENT_LOOKUPS = 3;
const BODY = 'an answer of a few words';
const STATUS_OK = 200;
const MAX_TRIES = 50;
const FRAMINGS: readonly Framing[] = ['length', 'chunked', 'interim', 'close'];

/** All cuts of an answer. */
function cutsOf(bytes: number): AnswerCut[] {
  return [false, true].flatMap((byReset) =>
    Array.from({ length: bytes }, (_, index) => ({ bytes: index, byReset })),
  );
}

/** Whether a caller takes an answer as a whole one, as far as its framing tells. */
function looksWhole(answer: BufferedResponse | undefined): boolean {
  if (answer?.status !== STATUS_OK) return false;
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined;
}

describe('answers that are cut off', () => {
  let system: ServiceSystem;

  afterEach(() => system.stop());

  describe('to lookups', () => {
    let replica: ReplicaServer;
    let dispatcher: ServiceNodeProcess;
    let other: ServiceNodeProcess;
    /** Cut of the answer to each request, by ID; those that were sent. */
    let cuts: Map<string, { framing: Framing; cut: AnswerCut }>;
    let sent: Set<string>;
    let lookups = 0;

    beforeEach(async () => {
      system = await ServiceSystem.start();
      system.configure(usualConfiguration(2, { lookup: { maxAttempts: 1 } }));
      replica = await system.addApplication({ slots: SLOTS });
      const nodes = await Promise.all(
        Array.from({ length: NODES }, (_, index) => system.addNode(`node-${index + 1}`)),
      );
      for (const node of nodes) await system.untilReady(node);
      dispatcher = await untilDispatcherIsKnown(system, nodes);
      other = nodes.find((node) => node !== dispatcher) as ServiceNodeProcess;
      cuts = new Map();
      sent = new Set();
      replica.respond = (socket, id) => {
        const entry = cuts.get(id);
        if (!entry) return false;
        sent.add(id);
        sendCut(socket, wholeAnswer(id, entry.framing, BODY), entry.cut);
        return true;
      };
    });

    /** Sends lookups until one has met the cut; resolves to its answer. */
    async function lookupWith(node: ServiceNodeProcess, framing: Framing, cut: AnswerCut) {
      for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        lookups += 1;
        const id = `lookup-${String(lookups).padStart(6, '0')}`;
        cuts.set(id, { framing, cut });
        const answer = await system.lookup(node, id);
        if (sent.has(id)) return answer;
      }
      throw new Error('no lookup has reached the replica');
    }

    async function expectNoneLooksWhole(node: ServiceNodeProcess, framing: Framing): Promise<void> {
      const { length } = wholeAnswer('lookup-000000', framing, BODY);
      const pending = cutsOf(length);
      const lookupAll = async () => {
        for (let cut = pending.pop(); cut; cut = pending.pop()) {
          const answer = await lookupWith(node, framing, cut);
          const what = `${framing} cut after ${cut.bytes} of ${length} bytes by ${cut.byReset ? 'a reset' : 'an end'}`;
          expect(looksWhole(answer), `${what}: ${answer?.status} ${answer?.body}`).to.equal(false);
          const isInBody = framing === 'close' && !cut.byReset && cut.bytes >= length - BODY.length;
          if (!isInBody) expect(answer?.status, what).to.not.equal(STATUS_OK);
        }
      };
      await Promise.all(Array.from({ length: CONCURRENT_LOOKUPS }, lookupAll));
    }

    for (const framing of FRAMINGS) {
      it(`are never whole ones to callers of the node that read them: ${framing}`, () =>
        expectNoneLooksWhole(dispatcher, framing));

      it(`are never whole ones to callers of another node: ${framing}`, () =>
        expectNoneLooksWhole(other, framing));
    }
  });

  describe('to items', () => {
    const EVENTS = 5;
    const ENGINES = 3;

    it('are continued after their last whole event', async () => {
      system = await ServiceSystem.start();
      system.configure(usualConfiguration(2, {}, 8));
      await system.addApplication();
      const submitted = job('job-1', { groups: 20 });
      const ids = itemIds(submitted);
      const cutOnce = new Set<string>();
      /** The first attempt of each item is cut, at bytes that are spread over the stream. */
      const respond: ReplicaServer['respond'] = (socket, id) => {
        const index = ids.indexOf(id);
        if (index < 0 || cutOnce.has(id)) return false;
        cutOnce.add(id);
        const stream = wholeStream(id, `${HEADER.weightVersions}: 1`, EVENTS);
        const bytes = Math.floor((stream.length * index) / ids.length);
        sendCut(socket, stream, { bytes, byReset: index % 2 === 0 });
        return true;
      };
      for (let index = 0; index < ENGINES; index += 1) {
        const engine = await system.addEngine({ events: EVENTS, slots: 8 });
        engine.respond = respond;
      }
      const node = await system.addNode('node-1');
      await system.untilReady(node);
      expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
      const results = await system.trainer.readAll([node.url], submitted.id, ids.length);
      expectWhole(results, submitted);
      expect(cutOnce.size).to.equal(ids.length);
      expect(results[0]?.text.split('\n')[0]).to.equal(eventData(results[0]?.id ?? '', 1));
    });
  });
});
