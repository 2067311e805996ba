/** Retry and hedging rules of the relay. */
import { expect } from 'chai';
import {
  type AttemptInput,
  classifyOutcome,
  exhaustedOutcome,
  hedgeDelayMs,
  isTooLateToStart,
  mayStartAttempt,
} from '../../../../src/coordination/service/requests/relay-policy.js';

const FIRST: AttemptInput = {
  pendingAttempts: 0,
  failedAttempts: 0,
  maxAttempts: 3,
  isDeclined: false,
  isHedged: true,
  verdict: { kind: 'clear' },
};
const answerOf = (status: number) => ({ status }) as never;

describe('relay policy', () => {
  it('starts attempts up to the maximum of the route, including pending ones', () => {
    expect(mayStartAttempt(FIRST)).to.equal(true);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 2 })).to.equal(true);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 2, pendingAttempts: 1 })).to.equal(false);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 3 })).to.equal(false);
  });

  it('starts no attempt after a rejection or for a quarantined request', () => {
    expect(mayStartAttempt({ ...FIRST, isDeclined: true })).to.equal(false);
    const verdict = { kind: 'held', ends: 3, retryAfterMs: 1 } as const;
    expect(mayStartAttempt({ ...FIRST, verdict })).to.equal(false);
  });

  it('starts a hedge only for hedged requests that are not suspected of crashing a replica', () => {
    const withPending = { ...FIRST, pendingAttempts: 1 };
    expect(mayStartAttempt(withPending)).to.equal(true);
    expect(mayStartAttempt({ ...withPending, isHedged: false })).to.equal(false);
    const verdict = { kind: 'suspected', ends: 1 } as const;
    expect(mayStartAttempt({ ...withPending, verdict })).to.equal(false);
    expect(mayStartAttempt({ ...FIRST, verdict })).to.equal(true);
  });

  it('delays a hedge by half of the target latency, but at least by the minimum delay', () => {
    expect(hedgeDelayMs(400)).to.equal(200);
    expect(hedgeDelayMs(10)).to.equal(60);
  });

  it('starts no attempt that cannot be answered before the deadline', () => {
    expect(isTooLateToStart(994, 1_000)).to.equal(false);
    expect(isTooLateToStart(995, 1_000)).to.equal(true);
  });

  it('retries an attempt that may have run only if the request may run twice', () => {
    const unknown = { kind: 'unknown', reason: 'reset' } as const;
    expect(classifyOutcome(unknown, false, true)).to.include({ kind: 'failed', isFinal: false });
    expect(classifyOutcome(unknown, false, false)).to.include({ kind: 'failed', isFinal: true });
    const error = { kind: 'answered', answer: answerOf(500) } as const;
    expect(classifyOutcome(error, false, true)).to.include({ kind: 'failed', isFinal: false });
    expect(classifyOutcome(error, false, false)).to.include({ kind: 'answer', isServed: false });
    const served = { kind: 'answered', answer: answerOf(404) } as const;
    expect(classifyOutcome(served, false, true)).to.include({ kind: 'answer', isServed: true });
  });

  it('ignores hedges without a free slot and aborted attempts', () => {
    const declined = { kind: 'declined', reason: 'full', isFull: true } as const;
    expect(classifyOutcome(declined, true, true)).to.deep.equal({ kind: 'ignored' });
    expect(classifyOutcome(declined, false, true)).to.deep.equal({ kind: 'declined', reason: 'full' });
    expect(classifyOutcome({ kind: 'cancelled' }, false, true)).to.deep.equal({ kind: 'ignored' });
  });

  it('reports that a request did not run only if no attempt may have run', () => {
    const input = {
      lastErrorAnswer: undefined,
      verdict: { kind: 'clear' },
      mayHaveRun: false,
      lastReason: 'full',
      retryAfterMs: 70,
      attempts: [],
    } as const;
    expect(exhaustedOutcome(input)).to.include({ kind: 'refused', reason: 'full', retryAfterMs: 70 });
    expect(exhaustedOutcome({ ...input, mayHaveRun: true })).to.include({ kind: 'failed', isTimeout: false });
    const verdict = { kind: 'held', ends: 3, retryAfterMs: 900 } as const;
    expect(exhaustedOutcome({ ...input, verdict })).to.include({ kind: 'refused', retryAfterMs: 900 });
    expect(exhaustedOutcome({ ...input, verdict, mayHaveRun: true })).to.include({ kind: 'failed' });
    const lastErrorAnswer = answerOf(500);
    expect(exhaustedOutcome({ ...input, verdict, lastErrorAnswer }).kind).to.equal('answered');
  });
});
