/** Guards against refusals that are about the request and are booked against a healthy replica. */
import { Readable } from 'node:stream';
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { ReplicaExchange } from '../../../../src/coordination/service/dispatch/index.js';
import {
  attemptGeneration,
  type GenerationOptions,
  SampleText,
} from '../../../../src/coordination/service/generation/index.js';
import { replicaFeedback } from '../../../../src/coordination/service/jobs/item-policy.js';
import type { JobItem } from '../../../../src/protocol/service/batch-job.js';
import type {
  ReplicaAnswer,
  ReplicaClient,
  ReplicaRequest,
} from '../../../../src/protocol/service/replica.js';
import { ReplicaState } from '../../../../src/state/service/replicas/index.js';
import { MemoryBudget } from '../../../../src/transport/memory-budget.js';
import { replicaWith } from '../../../support/replicas.js';

type Refusal = Partial<Pick<ReplicaAnswer, 'isNotExecuted' | 'isVersionMismatch' | 'weightVersion'>>;

function clientThatAnswers(status: number, refusal: Refusal): ReplicaClient {
  const answer = {
    status,
    headers: {},
    isNotExecuted: false,
    isVersionMismatch: false,
    matchesRequest: true,
    isEncoded: false,
    signature: undefined,
    weightVersion: undefined,
    isFramed: true,
    ...refusal,
  };
  const dispatch = async () => ok({ ...answer, body: Readable.from([]) });
  return { eventVersionField: 'version', dispatch } as unknown as ReplicaClient;
}

const NOT_EXECUTED = { isNotExecuted: true };
const OTHER_VERSION = { ...NOT_EXECUTED, isVersionMismatch: true };
const CASES = [
  { status: 503, refusal: NOT_EXECUTED, kind: 'declined', feedback: 'busy' },
  { status: 429, refusal: NOT_EXECUTED, kind: 'declined', feedback: 'busy' },
  { status: 421, refusal: NOT_EXECUTED, kind: 'declined', feedback: 'faulty' },
  { status: 421, refusal: OTHER_VERSION, kind: 'version-mismatch', feedback: 'none' },
  { status: 422, refusal: {}, kind: 'impossible', feedback: 'none' },
  { status: 422, refusal: NOT_EXECUTED, kind: 'impossible', feedback: 'none' },
  { status: 500, refusal: {}, kind: 'failed', feedback: 'none' },
  { status: 502, refusal: {}, kind: 'broken', feedback: 'faulty' },
] as const;

describe('refusals of replicas', () => {
  const reported: number[] = [];
  const options: GenerationOptions = {
    host: 'h',
    model: 'm',
    minVersion: 1,
    isSingleVersion: true,
    remainingMs: 1_000,
    stallMs: 1_000,
    reasonToMove: () => undefined,
    onAccepted: () => {},
    onVersion: (version) => reported.push(version),
    signal: new AbortController().signal,
  };

  const refused = (status: number, refusal: Refusal) =>
    attemptGeneration(
      clientThatAnswers(status, refusal),
      new ReplicaState(replicaWith()),
      { id: 'item', path: '/', headers: {}, body: Buffer.alloc(0) } as unknown as JobItem,
      new SampleText(),
      options,
    );

  for (const { status, refusal, kind, feedback } of CASES)
    it(`of items with ${status} ${Object.keys(refusal).join(' ')}: ${kind}, ${feedback}`, async () => {
      const outcome = await refused(status, refusal);
      expect(outcome.kind).to.equal(kind);
      expect(replicaFeedback(outcome)).to.equal(feedback);
    });

  it('of items tell the version of the replica', async () => {
    await refused(421, { ...OTHER_VERSION, weightVersion: 7 });
    expect(reported).to.deep.equal([7]);
  });

  for (const { refusal, isEjected } of [
    { refusal: NOT_EXECUTED, isEjected: true },
    { refusal: OTHER_VERSION, isEjected: false },
  ])
    it(`of requests with 421 ${Object.keys(refusal).join(' ')} ${isEjected ? 'eject' : 'keep'} the replica`, async () => {
      const state = new ReplicaState(replicaWith());
      const limits = { heldBytes: 1_000, reservedBytes: 0, garbageBytes: 1_000, youngGarbageBytes: 1_000 };
      const exchange = new ReplicaExchange(
        clientThatAnswers(421, refusal),
        {} as never,
        new MemoryBudget(limits, () => {}),
        { attempts: { inc: () => {} } } as never,
        { record: () => {} } as never,
      );
      const request = { id: 'r', remainingMs: 1_000, signal: new AbortController().signal };
      const outcome = await exchange.attempt(state, request as ReplicaRequest, {
        expectedMs: 0,
        configVersion: 1,
      });
      expect(outcome.kind).to.equal('declined');
      expect(state.isEjected).to.equal(isEjected);
    });
});
