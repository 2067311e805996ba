/**
 * Relays a request to a replica of its route's service and returns the buffered response. Safe requests are
 * retried on another replica and hedged when a replica is slow; other requests are retried only if they
 * certainly did not run.
 */
import type { TargetSplitter } from '../../../state/service/configuration/index.js';
import type { ExecutionCounter } from './execution-tracker.js';
import { DEFAULT_RETRY_AFTER_MS } from './relay-policy.js';
import { RelayRun, type SendAttempt } from './relay-run.js';
import type { RelayedRequest, RelayOutcome } from './relayed-request.js';
import type { RequestQuarantine } from './request-quarantine.js';

export class ServiceRelay {
  constructor(
    private readonly splitter: TargetSplitter,
    private readonly send: SendAttempt,
    private readonly quarantine: RequestQuarantine,
    private readonly countExecution: ExecutionCounter = () => () => {},
    /** Aborts when open requests must be answered since the process exits. */
    private readonly ending: AbortSignal = new AbortController().signal,
  ) {}

  /** Never rejects. */
  relay(request: RelayedRequest): Promise<RelayOutcome> {
    const target = this.splitter.next(request.route);
    if (!target) {
      const reason = 'route has no target service';
      return Promise.resolve({ kind: 'refused', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, attempts: [] });
    }
    const { send, quarantine, countExecution, ending } = this;
    return new RelayRun(request, target.service, { send, quarantine, countExecution, ending }).run();
  }
}
