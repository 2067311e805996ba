/**
 * Relays a request to a replica of its route's service and returns the buffered response.
 *
 * Safe requests are retried on another replica, and hedged while one is silent; others are sent again only if
 * they have certainly not run. The caller gets an outcome at the deadline, at the route's time-out, or when
 * no attempt is left.
 */
import type { TargetSplitter } from '../../../state/service/configuration/index.js';
import type { ExecutionCounter } from './execution-count.js';
import { DEFAULT_RETRY_AFTER_MS } from './relay-policy.js';
import { RelayRun, type SendAttempt } from './relay-run.js';
import type { RelayedRequest, RelayOutcome } from './relayed-request.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** Relays requests. */
export class ServiceRelay {
  constructor(
    private readonly splitter: TargetSplitter,
    private readonly send: SendAttempt,
    private readonly quarantine: RequestQuarantine,
    private readonly countExecution: ExecutionCounter = () => () => {},
  ) {}

  /** Runs one request to its end. Never rejects. */
  relay(request: RelayedRequest): Promise<RelayOutcome> {
    const target = this.splitter.next(request.route);
    if (!target) {
      const reason = 'the route has no service';
      return Promise.resolve({ kind: 'refused', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, attempts: [] });
    }
    return new RelayRun(request, target.service, this.send, this.quarantine, this.countExecution).run();
  }
}
