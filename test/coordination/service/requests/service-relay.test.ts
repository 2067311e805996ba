/** A relayed request at its deadline: what was never handed over has not run. Without a network. */
import { expect } from 'chai';
import { monotonicMs } from '../../../../src/common/clock.js';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import type {
  DispatchCall,
  DispatchResult,
} from '../../../../src/coordination/service/dispatch/dispatch-call.js';
import type { RelayedRequest } from '../../../../src/coordination/service/requests/relayed-request.js';
import { RequestQuarantine } from '../../../../src/coordination/service/requests/request-quarantine.js';
import { ServiceRelay } from '../../../../src/coordination/service/requests/service-relay.js';
import type { Route } from '../../../../src/protocol/service/routing-configuration.js';

const TIMEOUT_MS = 80;
const ROUTE = {
  name: 'lookup',
  kind: 'safe',
  service: 's',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 1_000,
  maxAttempts: 3,
} as unknown as Route;

describe('a relayed request at its deadline', () => {
  let calls: DispatchCall[];
  let countedExecutions: number;

  beforeEach(() => {
    calls = [];
    countedExecutions = 0;
  });

  /** Relays a request whose attempts end only when they are aborted; `onCall` plays the queue or the other node. */
  function relay(onCall: (call: DispatchCall) => void) {
    const quarantine = new RequestQuarantine({
      store: {} as never,
      metrics: new ServiceMetrics(),
      logger: { record: () => {} },
    });
    const send = (call: DispatchCall) =>
      new Promise<DispatchResult>((resolve) => {
        calls.push(call);
        const cancel = () => resolve({ outcome: { kind: 'cancelled' }, hasCrashedReplica: false });
        call.signal.addEventListener('abort', cancel);
        onCall(call);
      });
    const countExecution = () => {
      countedExecutions += 1;
      return () => {
        countedExecutions -= 1;
      };
    };
    const splitter = { next: () => ({ service: 's', weight: 1 }) };
    return new ServiceRelay(splitter as never, send, quarantine, countExecution).relay({
      id: 'request-1',
      method: 'POST',
      path: '/x',
      host: 'h',
      tenant: 't',
      headers: {},
      body: Buffer.from('x'),
      route: ROUTE,
      snapshot: { version: 1 },
      deadlineMs: monotonicMs() + 10_000,
      signal: new AbortController().signal,
      isHedged: true,
      priority: 0,
      flow: 'p',
      isBackground: false,
      targetAtMs: monotonicMs() + 1_000,
    } as unknown as RelayedRequest);
  }

  it('has not run while it is queued here: it is rejected, withdrawn at once and not counted', async () => {
    const outcome = await relay(() => {});
    expect(outcome.kind).to.equal('refused');
    if (outcome.kind === 'refused') expect(outcome.retryAfterMs).to.be.greaterThan(0);
    expect(calls[0]?.signal.aborted).to.equal(true);
    expect(countedExecutions).to.equal(0);
  });

  it('may have run once it was handed over: it fails, and counts', async () => {
    const outcome = await relay((call) => call.onHandOver?.(true));
    expect(outcome).to.include({ kind: 'failed', isTimeout: true });
    expect(countedExecutions).to.equal(1);
  });

  it('has not run when it was handed over, not taken, and is queued here again', async () => {
    const outcome = await relay((call) => {
      call.onHandOver?.(true);
      call.onHandOver?.(false);
    });
    expect(outcome.kind).to.equal('refused');
    expect(countedExecutions).to.equal(0);
  });
});
