/**
 * Decides whether this node may start new work: it is not leaving, and its configuration is confirmed to be
 * current (`FreshnessLease`) unless the service sets `onStaleConfiguration: serve`. Checked at admission and
 * before each dispatch, because the process may be paused in between.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Lifecycle } from '../../../common/lifecycle.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { FreshnessLease } from '../../../state/resource/configuration/index.js';
import { CoordinationError } from '../coordination-error.js';

export type NodeState = 'starting' | 'serving' | 'leaving' | 'stopped';
export type NodeEvent = 'configured' | 'stopRequested' | 'drained';

export const NODE_TRANSITIONS = {
  starting: { configured: 'serving', stopRequested: 'leaving' },
  serving: { stopRequested: 'leaving' },
  leaving: { drained: 'stopped' },
  stopped: {},
} as const;

const RETRY_AFTER_MS = 1_000;

export class WorkGate {
  constructor(
    private readonly lifecycle: Lifecycle<NodeState, NodeEvent>,
    private readonly freshness: FreshnessLease,
  ) {}

  /** Error `leaving` or `configuration-not-fresh`; a retry on another node is safe. */
  check(service?: ResourceOf<'Service'>): Result<void, CoordinationError> {
    if (this.lifecycle.current === 'leaving' || this.lifecycle.current === 'stopped') {
      return err(new CoordinationError('leaving', 'no', 'this node is leaving', RETRY_AFTER_MS));
    }
    const servesStale =
      service?.spec.onStaleConfiguration === 'serve' && this.lifecycle.current === 'serving';
    if (!this.freshness.isFresh && !servesStale) {
      const message = 'node configuration is not confirmed to be current';
      return err(new CoordinationError('configuration-not-fresh', 'no', message, RETRY_AFTER_MS));
    }
    return ok(undefined);
  }
}
