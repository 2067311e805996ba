/** Counters, gauges and latency histograms of a node that serves routes and jobs. Label sets are bounded. */
import { NodeMetrics } from './node-metrics.js';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** The metrics of a node. Names follow the Prometheus conventions. */
export class ServiceMetrics extends NodeMetrics {
  constructor() {
    super(LATENCY_BUCKETS_SECONDS);
  }

  /** Answers to callers by route and outcome. */
  readonly requests = this.counter('thymecove_requests_total', 'Answers by route and outcome', [
    'route',
    'outcome',
  ]);
  /** Time from a request to its answer. */
  readonly requestSeconds = this.histogram('thymecove_request_seconds', 'Time to the answer', ['route']);
  /** Calls of the store by kind and outcome. */
  readonly storeCalls = this.counter('thymecove_store_calls_total', 'Store calls', ['call', 'outcome']);
  /** Time of calls of the store. */
  readonly storeSeconds = this.histogram('thymecove_store_seconds', 'Time of store calls', ['call']);
  /** Time since the last answer of each feed. */
  readonly feedAge = this.gauge('thymecove_feed_age_seconds', 'Time since the last answer of a feed', [
    'table',
  ]);
  /** Version of the configuration in force. */
  readonly configVersion = this.gauge('thymecove_config_version', 'Configuration in force', []);
  /** Jobs that this node runs. */
  readonly ownedJobs = this.gauge('thymecove_owned_jobs', 'Jobs that this node runs', []);
  /** Items of the jobs that this node runs: `open` ones are not listed yet, `waiting` ones among them have no replica. */
  readonly items = this.gauge('thymecove_items', 'Items by state', ['state']);
  /** Age of the oldest job that this node runs, 0 without one. */
  readonly oldestJobSeconds = this.gauge(
    'thymecove_oldest_job_seconds',
    'Age of the oldest job run here',
    [],
  );
  /** Time from acceptance of a job to the listing of a result. */
  readonly listedSeconds = this.histogram('thymecove_result_listed_seconds', 'Time to a listed result', []);
  /** Requests whose connection broke while a replica had them, by what was found at its address: `refused` means that it has ended. */
  readonly brokenRuns = this.counter('thymecove_broken_runs_total', 'Connections lost under a request', [
    'service',
    'listener',
  ]);
  /** Requests under which a replica has ended lately, as far as this node knows. */
  readonly suspectRequests = this.gauge(
    'thymecove_suspect_requests',
    'Requests under which a replica has ended',
    [],
  );
  /** Requests that were not sent to a replica because replicas have ended under them. */
  readonly quarantinedRequests = this.counter('thymecove_held_requests_total', 'Requests held back', [
    'service',
  ]);
  /** Records in the place of announcements of replicas that name none. */
  readonly unreadableReplicas = this.counter(
    'thymecove_unreadable_replicas_total',
    'Records that name no replica',
    [],
  );
  /** Requests that were refused before they ran, for want of room or time, by rank. */
  readonly refusedRequests = this.counter(
    'thymecove_refused_requests_total',
    'Requests refused for want of room',
    ['service', 'rank'],
  );
  /** Time that requests waited here for a place at a replica. */
  readonly waitedSeconds = this.histogram('thymecove_waited_seconds', 'Time waited for a place', ['service']);
  /** Requests that wait here for a place at a replica. */
  readonly waitingRequests = this.gauge('thymecove_waiting_requests', 'Requests that wait', ['service']);
  /** Places of replicas that are free, as far as this node knows; it knows well where it deals them out. */
  readonly freeSlots = this.gauge('thymecove_free_places', 'Free places of replicas', ['service']);
  /** Second attempts that may be made now. */
  readonly retryBudgetLeft = this.gauge('thymecove_extra_attempts_left', 'Second attempts left', ['service']);
  /** Requests by where their place was dealt out: `here`, or at another node with what came of it. */
  readonly dispatcherCalls = this.counter('thymecove_home_calls_total', 'Requests given to homes', [
    'outcome',
  ]);
  /** Orders to replicas by outcome. */
  readonly loadCommands = this.counter('thymecove_orders_total', 'Orders to replicas', ['outcome']);
  /** Reports of usage by outcome. */
  readonly usageReports = this.counter('thymecove_usage_reports_total', 'Reports of usage', ['outcome']);
  /** Requests whose counts were given up because the store did not take them in time. */
  readonly usageLost = this.gauge('thymecove_usage_lost_requests', 'Requests that no report counts', []);
  /** Duties held by this node. */
  readonly leaderLeasesHeld = this.gauge('thymecove_duties_held', 'Duties held', []);
  /** Delay of the event loop. */
  readonly loopDelay = this.gauge('thymecove_loop_delay_seconds', 'Delay of the event loop', []);
  /** Resident memory of the process. */
  readonly memory = this.gauge('thymecove_resident_bytes', 'Resident memory', []);
  /** Log lines dropped because the reader was too slow. */
  readonly droppedLines = this.gauge('thymecove_dropped_log_lines', 'Dropped log lines', []);
}
