/** Rules of the relay: when another attempt starts, what an outcome means, what the caller gets at the end. */
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

describe('rules of the relay', () => {
  it('start attempts up to the maximum of the route, pending ones included', () => {
    expect(mayStartAttempt(FIRST)).to.equal(true);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 2 })).to.equal(true);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 2, pendingAttempts: 1 })).to.equal(false);
    expect(mayStartAttempt({ ...FIRST, failedAttempts: 3 })).to.equal(false);
  });

  it('start none after a rejection or in quarantine', () => {
    expect(mayStartAttempt({ ...FIRST, isDeclined: true })).to.equal(false);
    const verdict = { kind: 'held', ends: 3, retryAfterMs: 1 } as const;
    expect(mayStartAttempt({ ...FIRST, verdict })).to.equal(false);
  });

  it('start a hedge only for hedged requests under which no replica crashed', () => {
    const withPending = { ...FIRST, pendingAttempts: 1 };
    expect(mayStartAttempt(withPending)).to.equal(true);
    expect(mayStartAttempt({ ...withPending, isHedged: false })).to.equal(false);
    const verdict = { kind: 'suspected', ends: 1 } as const;
    expect(mayStartAttempt({ ...withPending, verdict })).to.equal(false);
    expect(mayStartAttempt({ ...FIRST, verdict })).to.equal(true);
  });

  it('delay a hedge by half of the target latency, but not below the least delay', () => {
    expect(hedgeDelayMs(400)).to.equal(200);
    expect(hedgeDelayMs(10)).to.equal(60);
  });

  it('start nothing that no replica could answer before the deadline', () => {
    expect(isTooLateToStart(994, 1_000)).to.equal(false);
    expect(isTooLateToStart(995, 1_000)).to.equal(true);
  });

  it('retry an attempt that may have run only where the request may run twice', () => {
    const unknown = { kind: 'unknown', reason: 'reset' } as const;
    expect(classifyOutcome(unknown, false, true)).to.include({ kind: 'failed', isFinal: false });
    expect(classifyOutcome(unknown, false, false)).to.include({ kind: 'failed', isFinal: true });
    const error = { kind: 'answered', answer: answerOf(500) } as const;
    expect(classifyOutcome(error, false, true)).to.include({ kind: 'failed', isFinal: false });
    expect(classifyOutcome(error, false, false)).to.include({ kind: 'answer', isServed: false });
    const served = { kind: 'answered', answer: answerOf(404) } as const;
    expect(classifyOutcome(served, false, true)).to.include({ kind: 'answer', isServed: true });
  });

  it('ignore a hedge without a slot, and attempts that were aborted', () => {
    const declined = { kind: 'declined', reason: 'full', isFull: true } as const;
    expect(classifyOutcome(declined, true, true)).to.deep.equal({ kind: 'ignored' });
    expect(classifyOutcome(declined, false, true)).to.deep.equal({ kind: 'declined', reason: 'full' });
    expect(classifyOutcome({ kind: 'cancelled' }, false, true)).to.deep.equal({ kind: 'ignored' });
  });

  it('promise that a request has not run only where no attempt may have run', () => {
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
