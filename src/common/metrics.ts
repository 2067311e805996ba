/** Counters, gauges and histograms of one node, in its own registry (several nodes may share a process). */
import { collectDefaultMetrics } from 'prom-client';
import { NodeMetrics } from './node-metrics.js';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120,
];

/** The metrics of a node. Names follow the Prometheus conventions; every counter starts at 0. */
export class Metrics extends NodeMetrics {
  /** Answers to callers by route and status. */
  readonly requests = this.counter('thymecove_requests_total', 'Answers by route and status', [
    'route',
    'status',
  ]);
  /** Refusals by reason code. */
  readonly refusals = this.counter('thymecove_refusals_total', 'Refusals by code', ['code']);
  /** Samples by what became of them. */
  readonly samples = this.counter('thymecove_samples_total', 'Samples by outcome', ['trainer', 'outcome']);
  /** Streams resumed on another engine after a cut. */
  readonly resumes = this.counter('thymecove_stream_resumes_total', 'Streams resumed on another engine', []);
  /** Calls of the platform by operation and outcome. */
  readonly platformCalls = this.counter('thymecove_platform_calls_total', 'Platform calls', [
    'operation',
    'outcome',
  ]);
  /** Configuration revision in force on this node. */
  readonly configRevision = this.gauge('thymecove_config_revision', 'Configuration revision in force');
  /** Members that this node believes alive. */
  readonly membersAlive = this.gauge('thymecove_members_alive', 'Members believed alive');
  /** Requests being served now. */
  readonly inFlight = this.gauge('thymecove_requests_in_flight', 'Requests being served');
  /** Time to the first byte of an answer. */
  readonly latency = this.histogram(
    'thymecove_request_seconds',
    'Time from a request to the end of its answer',
    ['route'],
  );

  /** `processMetrics` adds the processor and memory figures of the process; one node of a process takes it. */
  constructor(processMetrics: boolean) {
    super(LATENCY_BUCKETS_SECONDS);
    if (processMetrics) collectDefaultMetrics({ register: this.registry });
  }
}
