/**
 * Change feeds of the store's tables that a node follows: operators' records, replicas, fleet members, and
 * jobs with crash reports. While long polls fail, the feeds age, `isConfigurationFresh` becomes false, and
 * each feed retries independently.
 */
import { MILLISECONDS_PER_SECOND } from '../../common/clock.js';
import type { DecisionLogger } from '../../common/decision-logger.js';
import {
  type FeedHandler,
  type FeedObserver,
  RecordFeed,
  SharedTable,
} from '../../coordination/feeds/index.js';
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import {
  type FleetDirectory,
  OperatorAnnouncements,
  type PeerAddresses,
  ReplicaAnnouncements,
  type SessionMonitor,
} from '../../coordination/service/membership/index.js';
import type { RequestQuarantine } from '../../coordination/service/requests/index.js';
import { CRASH_PARTITION } from '../../state/service/replicas/index.js';
import type { ReportUnreadable } from '../../state/service/store/index.js';
import type { NodeContext } from './node-context.js';
import { isConfigurationFresh, isFeedCurrent, pollDelayMs } from './readiness.js';

/** Handlers of the feeds, and what determines the delay between long polls. */
export interface NodeFeedDependencies {
  readonly fleet: FleetDirectory;
  readonly ownership: JobOwnership;
  readonly quarantine: RequestQuarantine;
  readonly sessions: SessionMonitor;
  readonly peers: PeerAddresses;
}

/** Logs full reads of a table, gaps in its change history, and records that a handler failed with. */
function feedObserver(logger: DecisionLogger, reportUnreadable: ReportUnreadable): FeedObserver {
  return {
    failed: (table, key, problem, version) => reportUnreadable({ table, key, version }, problem),
    changed: (name, change, version) =>
      logger.record({ event: 'belief-changed', subject: 'feed', name, change, version }),
  };
}

export class NodeFeeds {
  readonly operators: OperatorAnnouncements;
  private readonly operatorFeed: RecordFeed<unknown>;
  private readonly feeds: readonly RecordFeed<unknown>[];

  constructor(
    private readonly context: NodeContext,
    private readonly services: NodeFeedDependencies,
  ) {
    const { store, format, routing, versions, directory, settings, metrics, logger } = context;
    const observer = feedObserver(logger, context.reportUnreadable);
    const pause = (signal: AbortSignal) =>
      services.sessions.pauseUnlessHolder(pollDelayMs(services.peers.fleetSize), signal);
    const createFeed = <T>(handler: FeedHandler<T>) =>
      new RecordFeed(store, handler, observer, pause) as RecordFeed<unknown>;
    // Cyclic reference: the handler reads the freshness of its own feed, but not before the first record.
    const replicas = new ReplicaAnnouncements({
      ...context,
      heartbeatMs: () => settings().replicaHeartbeatMs,
      isFeedCurrent: () => isFeedCurrent(this.freshnessOf(replicaFeed)),
    });
    const replicaFeed = createFeed(replicas);
    this.operators = new OperatorAnnouncements(
      store,
      format,
      routing,
      versions,
      directory,
      metrics,
      logger,
      context.reportUnreadable,
    );
    this.operatorFeed = createFeed(this.operators);
    const jobs = new SharedTable(services.ownership, {
      partition: CRASH_PARTITION,
      handler: services.quarantine,
    });
    this.feeds = [this.operatorFeed, replicaFeed, createFeed(services.fleet), createFeed(jobs)];
  }

  /** Follows all tables until `signal` is aborted. */
  run(signal: AbortSignal): void {
    for (const feed of this.feeds) void feed.run(signal);
  }

  /** Infinite before the operators' feed has answered its first long poll. */
  get operatorFeedAgeMs(): number {
    return this.operatorFeed.ageMs;
  }

  /** Whether the configuration is stale by at most the configured bound. */
  get isConfigurationFresh(): boolean {
    return isConfigurationFresh(
      this.freshnessOf(this.operatorFeed),
      this.context.settings().configurationBoundMs,
    );
  }

  /** Sets the gauges. */
  measure(): void {
    for (const feed of this.feeds)
      this.context.metrics.feedAge.set({ table: feed.table }, feed.ageMs / MILLISECONDS_PER_SECOND);
  }

  private freshnessOf(feed: RecordFeed<unknown>) {
    return {
      isStoreAnswering: this.context.store.isAnswering(),
      feedAgeMs: feed.ageMs,
      fleetSize: this.services.peers.fleetSize,
    };
  }
}
