/**
 * Work gate: whether this node may start new work at all. It may while it is not leaving and its
 * configuration is confirmed as the newest (`FreshnessLease`); a service with `onStaleConfiguration: serve`
 * does without the latter once the node has served. Checked at admission and again before each dispatch,
 * since a process pause may lie between.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Lifecycle } from '../../../common/lifecycle.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { FreshnessLease } from '../../../state/resource/configuration/index.js';
import { CoordinationError } from '../coordination-error.js';

/** Lifecycle of a node. */
export type NodeState = 'starting' | 'serving' | 'leaving' | 'stopped';
export type NodeEvent = 'configured' | 'stopRequested' | 'drained';

export const NODE_TRANSITIONS = {
  starting: { configured: 'serving', stopRequested: 'leaving' },
  serving: { stopRequested: 'leaving' },
  leaving: { drained: 'stopped' },
  stopped: {},
} as const;

/** Retry-After of a closed gate, milliseconds. Chosen, not measured. */
const RETRY_AFTER_MS = 1_000;

/** The gate of one node. */
export class WorkGate {
  constructor(
    private readonly lifecycle: Lifecycle<NodeState, NodeEvent>,
    private readonly freshness: FreshnessLease,
  ) {}

  /** Error `leaving` or `configuration-not-fresh`; the request has not run, so a retry elsewhere is safe. */
  check(service?: ResourceOf<'Service'>): Result<void, CoordinationError> {
    if (this.lifecycle.current === 'leaving' || this.lifecycle.current === 'stopped') {
      return err(new CoordinationError('leaving', 'no', 'this node is leaving', RETRY_AFTER_MS));
    }
    const servesStale =
      service?.spec.onStaleConfiguration === 'serve' && this.lifecycle.current === 'serving';
    if (!this.freshness.isFresh && !servesStale) {
      const message = 'the configuration of this node is not confirmed to be the newest';
      return err(new CoordinationError('configuration-not-fresh', 'no', message, RETRY_AFTER_MS));
    }
    return ok(undefined);
  }
}
