/** Metrics that every kind of node has. */
import { MetricSet } from './metric-set.js';

/** The base of a node's metrics. */
export class NodeMetrics extends MetricSet {
  /** Attempts at back ends, by service and outcome. */
  readonly attempts = this.counter('thymecove_attempts_total', 'Attempts by outcome', ['service', 'outcome']);
  /** Events that a lifecycle did not take: each one is a defect. */
  readonly lifecycleDefects = this.counter('thymecove_lifecycle_defects_total', 'Events not taken', [
    'lifecycle',
    'event',
  ]);
  /** Changes of state by lifecycle and new state. */
  readonly transitions = this.counter('thymecove_lifecycle_transitions_total', 'State changes', [
    'lifecycle',
    'state',
  ]);
}
