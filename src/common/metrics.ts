/** Metrics of a node with the product's own interface. */
import { collectDefaultMetrics } from 'prom-client';
import { NodeMetrics } from './node-metrics.js';

/** From a relayed request to a long rollout. */
const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120,
];

export class Metrics extends NodeMetrics {
  readonly requests = this.counter('thymecove_requests_total', 'Answers to callers by route and status', [
    'route',
    'status',
  ]);
  readonly refusals = this.counter('thymecove_refusals_total', 'Rejected requests by error code', ['code']);
  readonly samples = this.counter('thymecove_samples_total', 'Samples by outcome', ['trainer', 'outcome']);
  readonly resumes = this.counter('thymecove_stream_resumes_total', 'Streams resumed on another engine');
  readonly platformCalls = this.counter('thymecove_platform_calls_total', 'Platform calls by outcome', [
    'operation',
    'outcome',
  ]);
  readonly configRevision = this.gauge('thymecove_config_revision', 'Configuration revision in force');
  readonly membersAlive = this.gauge('thymecove_members_alive', 'Nodes that this node takes for alive');
  readonly inFlight = this.gauge('thymecove_requests_in_flight', 'Requests being served');
  readonly latency = this.histogram(
    'thymecove_request_seconds',
    'Time from a request to the end of its answer',
    ['route'],
  );

  /** `processMetrics` adds processor time and memory of the process; set for one node of a process. */
  constructor(processMetrics: boolean) {
    super(LATENCY_BUCKETS_SECONDS);
    if (processMetrics) collectDefaultMetrics({ register: this.registry });
  }
}
