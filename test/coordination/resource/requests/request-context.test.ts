/** Guards against 502 (outcome unknown) instead of 504 (deadline passed) when the timer fires slightly before the deadline. */
import { once } from 'node:events';
import { expect } from 'chai';
import { monotonicMs } from '../../../../src/common/clock.js';
import { isPastDeadline, type RequestContext } from '../../../../src/coordination/resource/requests/index.js';

const LATER_MS = 60_000;

describe('isPastDeadline', () => {
  const contextOf = (signal: AbortSignal): RequestContext => ({
    requestId: 'request-1',
    principal: { name: 'caller', roles: [] } as never,
    signal,
    deadlineMs: monotonicMs() + LATER_MS,
  });

  it('returns true when the timer has fired, even before the deadline', async () => {
    const signal = AbortSignal.any([new AbortController().signal, AbortSignal.timeout(1)]);
    const context = contextOf(signal);
    expect(isPastDeadline(context)).to.equal(false);
    await once(signal, 'abort');
    expect(isPastDeadline(context)).to.equal(true);
  });

  it('returns false when the caller has disconnected', () => {
    const caller = new AbortController();
    const context = contextOf(AbortSignal.any([caller.signal, AbortSignal.timeout(LATER_MS)]));
    caller.abort();
    expect(isPastDeadline(context)).to.equal(false);
  });
});
