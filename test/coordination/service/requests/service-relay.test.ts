/** A request that reaches its deadline before it was handed over must be reported as not run. */
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

describe('ServiceRelay at the deadline', () => {
  let calls: DispatchCall[];
  let countedExecutions: number;

  beforeEach(() => {
    calls = [];
    countedExecutions = 0;
  });

  /** Relays a request whose attempts end only when aborted. `onCall` stands in for the queue or a remote node. */
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

  it('rejects a locally queued request, aborts it at once and does not count it', async () => {
    const outcome = await relay(() => {});
    expect(outcome.kind).to.equal('refused');
    if (outcome.kind === 'refused') expect(outcome.retryAfterMs).to.be.greaterThan(0);
    expect(calls[0]?.signal.aborted).to.equal(true);
    expect(countedExecutions).to.equal(0);
  });

  it('fails and counts a request that was handed over, since it may have run', async () => {
    const outcome = await relay((call) => call.onHandOver?.(true));
    expect(outcome).to.include({ kind: 'failed', isTimeout: true });
    expect(countedExecutions).to.equal(1);
  });

  it('rejects a request that was handed over but not accepted, and does not count it', async () => {
    const outcome = await relay((call) => {
      call.onHandOver?.(true);
      call.onHandOver?.(false);
    });
    expect(outcome.kind).to.equal('refused');
    expect(countedExecutions).to.equal(0);
  });
});
