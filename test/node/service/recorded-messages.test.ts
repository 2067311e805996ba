/** Messages between nodes as build 77d6b4f sent them, recorded: a current node understands them. Rows: test/contract. */
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { expect } from 'chai';
import { LoopbackServer, receiveBody } from '../../../emulator/loopback-server.js';
import { type ServiceNodeProcess, ServiceSystem } from '../../support/service-system.js';
import { until } from '../../support/wait.js';

const FIXTURE = resolve(import.meta.dirname, '../../../../test/node/service/fixtures/messages-77d6b4f.json');
const NODE_TABLE = 'serving-nodes';
/** More than that of the node under test, so that the recorded node is the dispatcher. */
const CAPACITY = 1.9;

interface RecordedMessages {
  readonly call: { readonly id: string };
  readonly callBody: string;
  readonly outcome: object;
  readonly outcomeBody: string;
  readonly announcement: object;
}

const framed = (message: object, body: string) => `${JSON.stringify(message)}\n${body}`;

describe('messages of an earlier build', () => {
  const recorded = JSON.parse(readFileSync(FIXTURE, 'utf8')) as RecordedMessages;
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    await system.addApplication({ slots: 1 });
    node = await system.addNode('node-1');
    await system.untilReady(node);
  });

  afterEach(() => system.stop());

  const announcement = () =>
    until('the node is announced', () =>
      system.store.rows.read<{ peerAddress: string; announcedAtMs: number }>(NODE_TABLE, 'node-1'),
    );

  it('serves a call of an earlier build, and answers with what that build reads', async () => {
    const { peerAddress } = await announcement();
    const answer = await system.http.exchange({
      method: 'POST',
      url: `http://${peerAddress}/dispatch`,
      headers: { 'content-type': 'application/octet-stream' },
      body: framed(recorded.call, recorded.callBody),
      totalTimeoutMs: 5_000,
    });
    const { status, body } = answer._unsafeUnwrap();
    expect(status).to.equal(200);
    const [line = '', text] = body.toString('utf8').split('\n');
    expect(text).to.equal(recorded.outcomeBody);
    const outcome = JSON.parse(line) as object;
    expect(outcome).to.include({ kind: 'answered', hasEndedReplica: false, status: 200, isFramed: true });
    expect(outcome).to.include.all.keys(Object.keys(recorded.outcome));
  });

  it('takes the outcome of a dispatcher of an earlier build', async () => {
    const calls: string[] = [];
    const dispatcher = new LoopbackServer(async (request, response) => {
      calls.push(String(await receiveBody(request)));
      response.end(framed(recorded.outcome, recorded.outcomeBody));
    });
    const peerAddress = await dispatcher.start();
    const { announcedAtMs } = await announcement();
    system.store.rows.put(NODE_TABLE, 'node-0', {
      ...recorded.announcement,
      peerAddress,
      capacity: CAPACITY,
      announcedAtMs,
    });
    await until('the dispatcher is called', async () => {
      const answer = await system.lookup(node, recorded.call.id);
      if (calls.length === 0) return false;
      expect(answer?.body.toString('utf8')).to.equal(recorded.outcomeBody);
      return true;
    });
    dispatcher.stop();
    const [line = '', body] = calls[0]?.split('\n') ?? [];
    expect(body).to.equal(recorded.callBody);
    expect(JSON.parse(line)).to.include.all.keys(Object.keys(recorded.call));
  });
});
