/**
 * Metrics of a node that serves routes and jobs. Dashboards read names and labels, so they keep their names.
 * Label values are bounded: routes and services of the configuration, and fixed outcomes.
 */
import { NodeMetrics } from './node-metrics.js';

/** From a lookup to a long stream. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export class ServiceMetrics extends NodeMetrics {
  constructor() {
    super(LATENCY_BUCKETS_SECONDS);
  }

  readonly requests = this.counter('thymecove_requests_total', 'Answers by route and outcome', [
    'route',
    'outcome',
  ]);
  readonly requestSeconds = this.histogram('thymecove_request_seconds', 'Time to the answer', ['route']);
  readonly storeCalls = this.counter('thymecove_store_calls_total', 'Calls of the store', [
    'call',
    'outcome',
  ]);
  readonly storeSeconds = this.histogram('thymecove_store_seconds', 'Duration of store calls', ['call']);
  readonly feedAge = this.gauge('thymecove_feed_age_seconds', "Age of a feed's newest answer", ['table']);
  readonly configVersion = this.gauge('thymecove_config_version', 'Version of the configuration in force');
  readonly ownedJobs = this.gauge('thymecove_owned_jobs', 'Jobs that this node owns');
  readonly items = this.gauge('thymecove_items', 'Items of owned jobs: not listed (open), queued (waiting)', [
    'state',
  ]);
  readonly oldestJobSeconds = this.gauge(
    'thymecove_oldest_job_seconds',
    'Age of the oldest owned job, 0 without one',
  );
  readonly listedSeconds = this.histogram(
    'thymecove_result_listed_seconds',
    "Time from a job's acceptance to a listed result",
  );
  readonly brokenRuns = this.counter(
    'thymecove_broken_runs_total',
    'Connections lost under a request; listener refused: the replica crashed',
    ['service', 'listener'],
  );
  readonly suspectRequests = this.gauge(
    'thymecove_suspect_requests',
    'Requests under which a replica crashed lately',
  );
  readonly quarantinedRequests = this.counter(
    'thymecove_held_requests_total',
    'Quarantined requests rejected',
    ['service'],
  );
  readonly unreadableReplicas = this.counter(
    'thymecove_unreadable_replicas_total',
    'Malformed announcements of replicas',
  );
  readonly unreadableRecords = this.counter(
    'thymecove_unreadable_records_total',
    'Changes of stored records that this node cannot use',
    ['table'],
  );
  readonly refusedRequests = this.counter(
    'thymecove_refused_requests_total',
    'Requests rejected by admission control, by priority',
    ['service', 'rank'],
  );
  readonly waitedSeconds = this.histogram('thymecove_waited_seconds', 'Time queued for a slot', ['service']);
  readonly queuedRequests = this.gauge('thymecove_waiting_requests', 'Requests queued for a slot', [
    'service',
  ]);
  readonly freeSlots = this.gauge('thymecove_free_places', 'Free slots known here; exact at the dispatcher', [
    'service',
  ]);
  readonly retryBudgetLeft = this.gauge('thymecove_extra_attempts_left', 'Retries and hedges in budget', [
    'service',
  ]);
  readonly dispatcherCalls = this.counter(
    'thymecove_home_calls_total',
    'Requests by dispatcher: here, or the outcome at another node',
    ['outcome'],
  );
  readonly loadCommands = this.counter('thymecove_orders_total', 'Load commands to replicas', ['outcome']);
  readonly usageReports = this.counter('thymecove_usage_reports_total', 'Usage reports by outcome', [
    'outcome',
  ]);
  readonly usageLost = this.gauge(
    'thymecove_usage_lost_requests',
    'Requests whose count the store took too late',
  );
  readonly leaderLeasesHeld = this.gauge('thymecove_duties_held', 'Leader leases held by this node');
  readonly loopDelay = this.gauge('thymecove_loop_delay_seconds', 'Delay of the event loop');
  readonly memory = this.gauge('thymecove_resident_bytes', 'Resident memory');
  readonly heldBytes = this.gauge('thymecove_held_bytes', 'Bytes held for callers, peers and replicas');
  readonly givenUpHoldings = this.gauge(
    'thymecove_given_up_holdings',
    'Bodies and answers given up for want of memory',
  );
  readonly replacedConnections = this.gauge(
    'thymecove_replaced_connections',
    'Connections of callers closed at their maximum',
  );
  readonly droppedLines = this.gauge(
    'thymecove_dropped_log_lines',
    'Log lines dropped because of a slow reader',
  );
}
