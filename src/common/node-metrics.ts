/** Metrics common to all kinds of nodes. */
import { MetricSet } from './metric-set.js';

export class NodeMetrics extends MetricSet {
  readonly attempts = this.counter(
    'thymecove_attempts_total',
    'Attempts at back ends or replicas by outcome',
    ['service', 'outcome'],
  );
  readonly lifecycleDefects = this.counter(
    'thymecove_lifecycle_defects_total',
    'Events that a lifecycle did not accept: defects',
    ['lifecycle', 'event'],
  );
  readonly transitions = this.counter(
    'thymecove_lifecycle_transitions_total',
    'State changes by lifecycle and new state',
    ['lifecycle', 'state'],
  );
}
