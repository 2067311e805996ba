/**
 * A node that serves routes and batch jobs over a record store. It puts the layers together; an adapter brings the store,
 * the replicas' wire format and the operators' records, and translates its callers' requests into the calls below.
 */
import { setMaxListeners } from 'node:events';
import { monotonicMs, SYSTEM_CLOCK, sleep } from '../../common/clock.js';
import type { DecisionLogger } from '../../common/decision-logger.js';
import { uniqueId } from '../../common/identifier.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import { FEED_WAIT_MS, type FeedObserver, RecordFeed, SharedTable } from '../../coordination/feeds/index.js';
import { CrashCheck, ReplicaExchange } from '../../coordination/service/dispatch/index.js';
import { Placement, SampleLengths, SampleScorer } from '../../coordination/service/generation/index.js';
import type { SubmissionParser } from '../../coordination/service/jobs/index.js';
import { JobCalls, JobForwarding, JobOwnership } from '../../coordination/service/jobs/index.js';
import { LeaderLease } from '../../coordination/service/leadership/index.js';
import {
  type AnnouncementFormat,
  OperatorAnnouncements,
  PeerAddresses,
  PeerConfiguration,
  ReplicaAnnouncements,
  SessionMonitor,
} from '../../coordination/service/membership/index.js';
import {
  QuarantineExchange,
  RequestQuarantine,
  ServiceRelay,
} from '../../coordination/service/requests/index.js';
import { UsageAccounting } from '../../coordination/service/usage/index.js';
import { LoadCommander } from '../../coordination/service/weights/index.js';
import type { RecordStore } from '../../protocol/record-store.js';
import type { PeerConfigurationAnswer } from '../../protocol/service/configuration-peer.js';
import type { CrashReportMessage, CrashReportsAnswer } from '../../protocol/service/crash-report-peer.js';
import type {
  DispatchMessage,
  DispatchOutcomeMessage,
  Framed,
} from '../../protocol/service/dispatch-peer.js';
import type { JobPeer } from '../../protocol/service/job-calls.js';
import type { ReplicaClient } from '../../protocol/service/replica.js';
import type { ServiceSettings, UsageSettings } from '../../protocol/service/service-settings.js';
import type { UsageSink } from '../../protocol/service/usage.js';
import { RoutingTable, TargetSplitter } from '../../state/service/configuration/index.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';
import { JobRepository, ResultCache } from '../../state/service/jobs/index.js';
import { CRASH_PARTITION, ReplicaDirectory, WeightVersions } from '../../state/service/replicas/index.js';
import { DispatchParts, type PeerCall } from './dispatch-parts.js';

/** Duty of giving orders to model replicas. */
const LOAD_COMMANDS_TASK = 'weight-orders';
/** Duty of reporting usage. */
const USAGE_TASK = 'usage';
/** Longest effort at the end to keep what was counted, milliseconds. */
const FLUSH_MS = 1_500;
/** Part of the memory that listed results may take. */
const RESULT_CACHE_FRACTION = 0.05;
/** Part of the time until the process is killed in which owned jobs may still finish here. */
const FINISH_FRACTION = 0.5;
/** Callers are moved to other nodes within this time after the node says that it is not ready, milliseconds. */
const MOVE_AWAY_MS = 3_000;
const DRAIN_POLL_MS = 50;
/**
 * A node that has just started is not ready before it has read which requests have ended replicas; after this time it is all
 * the same, since that part of the store may be away, milliseconds.
 */
const UNINFORMED_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1000;
/**
 * A node that holds nothing asks for further changes this much later for each node of the fleet, at most
 * `LONGEST_CHANGE_PAUSE_MS`, so that several come together, milliseconds.
 */
const CHANGE_PAUSE_PER_NODE_MS = 5;
const LONGEST_CHANGE_PAUSE_MS = 1_000;
/** Time that an answer about changes may take on top of the time for which it is held, milliseconds. */
const FEED_ANSWER_MS = 500;
/** Part of the time until the process is killed after which it ends by itself. */
const END_FRACTION = 0.9;

/** What an adapter brings. */
export interface ServiceNodeParts {
  /** The settings in force; they may be read again while the node runs. */
  readonly settings: () => ServiceSettings;
  readonly store: RecordStore;
  readonly client: ReplicaClient;
  readonly peer: JobPeer;
  readonly format: AnnouncementFormat;
  readonly parseSubmission: SubmissionParser;
  /** Makes the client of whoever takes reports of usage, where there is one. */
  readonly createUsageSink: (settings: UsageSettings) => UsageSink;
  /** Asks another node for a configuration newer than a version. */
  readonly askForConfiguration: (address: string, version: number) => Promise<PeerConfigurationAnswer>;
  /** Exchanges reports of requests that end replicas with another node. */
  readonly exchangeCrashReports: (
    address: string,
    reports: readonly CrashReportMessage[],
  ) => Promise<CrashReportsAnswer | undefined>;
  /** Gives a request to the node that deals out the places of its service. */
  readonly dispatchAtPeer: PeerCall;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** Writes what becomes of feeds into the log. */
function feedObserver(logger: DecisionLogger): FeedObserver {
  return {
    answered: () => {},
    changed: (name, change, version) =>
      logger.record({ event: 'belief-changed', subject: 'feed', name, change, version }),
  };
}

/** One node. */
export class ServiceNode {
  readonly routing = new RoutingTable();
  readonly directory = new ReplicaDirectory();
  readonly relay: ServiceRelay;
  readonly jobs: JobCalls;
  private readonly versions = new WeightVersions();
  private readonly dispatch: DispatchParts;
  private readonly quarantine: RequestQuarantine;
  private readonly quarantineExchange: QuarantineExchange;
  private readonly placement: Placement;
  private readonly ownership: JobOwnership;
  private readonly sessions: SessionMonitor;
  private readonly peers: PeerAddresses;
  private readonly loadLease: LeaderLease;
  private readonly loadCommander: LoadCommander;
  private readonly operators: OperatorAnnouncements;
  private readonly peerConfiguration: PeerConfiguration;
  /** `undefined` where no usage is reported. */
  private readonly usage: UsageAccounting | undefined;
  private readonly operatorFeed: RecordFeed<unknown>;
  private readonly replicaFeed: RecordFeed<unknown>;
  private readonly feeds: readonly RecordFeed<unknown>[];
  private readonly controller = new AbortController();
  private isDraining = false;
  private startedAtMs = Number.POSITIVE_INFINITY;
  private openRequests = 0;

  constructor(private readonly parts: ServiceNodeParts) {
    setMaxListeners(0, this.controller.signal);
    const { store, client, format, parseSubmission, metrics, logger } = parts;
    const settings = parts.settings();
    const self: OwnerReference = { node: settings.nodeName, life: uniqueId() };
    const splitter = new TargetSplitter();
    const endCheck = new CrashCheck(metrics);
    const exchange = new ReplicaExchange(client, endCheck, metrics, logger);
    const repository = new JobRepository(store);
    const cache = new ResultCache(settings.memoryBytes * RESULT_CACHE_FRACTION);
    this.quarantine = new RequestQuarantine({ store, metrics, logger });
    this.dispatch = new DispatchParts({
      store,
      settings,
      routing: this.routing,
      directory: this.directory,
      exchange,
      callPeer: parts.dispatchAtPeer,
      metrics,
      logger,
    });
    this.relay = new ServiceRelay(
      splitter,
      (call, isRepeatable) => this.dispatch.remote.dispatch(call, isRepeatable),
      this.quarantine,
      (tenant) => this.usage?.counter.begin(tenant) ?? (() => {}),
    );
    this.sessions = new SessionMonitor(store, self, {
      isHolder: () => this.ownership.isWarm || this.leases.some((lease) => lease.isHeld),
      mustWatch: () => this.ownership.hasForeignJobs || this.hasModels || this.usage !== undefined,
      holders: () => [...this.ownership.owners, ...this.leases.flatMap((lease) => lease.holder ?? [])],
      fleetSize: () => this.peers.fleetSize,
    });
    this.placement = new Placement(this.directory, settings.zone, ({ replica }) =>
      this.routing.current?.slowStartPerSecondOfOwner(replica.service),
    );
    this.ownership = new JobOwnership(
      {
        routing: this.routing,
        splitter,
        placement: this.placement,
        directory: this.directory,
        versions: this.versions,
        client,
        endCheck,
        quarantine: this.quarantine,
        lengths: new SampleLengths(),
        scorer: new SampleScorer(this.routing, this.relay),
        metrics,
        logger,
        repository,
        cache,
        parseSubmission,
        store,
        sessions: this.sessions,
        retentionMs: () => parts.settings().resultRetentionMs,
      },
      self,
    );
    this.peers = new PeerAddresses(store, settings.nodeName, logger, SYSTEM_CLOCK, {
      zone: settings.zone,
      capacity: settings.processorCores,
    });
    this.jobs = new JobCalls({
      repository,
      ownership: this.ownership,
      cache,
      parseSubmission,
      logger,
      isStoreAnswering: () => store.isAnswering(),
      forwarding: new JobForwarding({
        peer: parts.peer,
        peers: this.peers,
        isStoreAnswering: () => store.isAnswering(),
        logger,
      }),
    });
    const handoverGuardMs = () => parts.settings().leaseMs;
    this.loadLease = new LeaderLease(store, LOAD_COMMANDS_TASK, self, this.sessions, handoverGuardMs, logger);
    this.sessions.onPoll((records) => this.loadLease.observe(records, this.hasModels && !this.isDraining));
    this.usage = settings.usage && this.createUsage(settings.usage, self, handoverGuardMs);
    this.sessions.onPoll((records) => this.usage?.observe(records, !this.isDraining));
    this.loadCommander = new LoadCommander({
      routing: this.routing,
      directory: this.directory,
      versions: this.versions,
      client,
      lease: this.loadLease,
      demandOf: (model) => this.ownership.demandOf(model),
      requestsOf: (model) => this.ownership.requestsOf(model),
      nodeName: settings.nodeName,
      metrics,
      logger,
    });
    this.operators = new OperatorAnnouncements(
      store,
      format,
      this.routing,
      this.versions,
      this.directory,
      metrics,
      logger,
    );
    this.peerConfiguration = new PeerConfiguration({
      isStoreAnswering: () => store.isAnswering(),
      isFollowed: () => this.isConfigurationFollowed,
      peers: (count) => this.peers.likeliestPeers(count),
      version: () => this.routing.current?.version ?? 0,
      ask: parts.askForConfiguration,
      take: (value) => this.operators.takeConfiguration(value),
      onRejectedByStore: () => this.ownership.cancelRuns(),
      logger,
    });
    this.quarantineExchange = new QuarantineExchange({
      quarantine: this.quarantine,
      isStoreAnswering: () => store.isAnswering(),
      peers: (count) => this.peers.likeliestPeers(count),
      exchange: parts.exchangeCrashReports,
    });
    const replicas = new ReplicaAnnouncements({
      store,
      format,
      directory: this.directory,
      heartbeatMs: () => parts.settings().replicaHeartbeatMs,
      isFollowed: () => this.isFollowing(this.replicaFeed),
      metrics,
      logger,
    });
    const observer = feedObserver(logger);
    const pause = (signal: AbortSignal) => this.pauseBetweenChanges(signal);
    this.operatorFeed = new RecordFeed(store, this.operators, observer, pause);
    this.replicaFeed = new RecordFeed(store, replicas, observer, pause);
    this.feeds = [
      this.operatorFeed,
      this.replicaFeed,
      new RecordFeed(store, this.dispatch.fleet, observer, pause),
      new RecordFeed(
        store,
        new SharedTable(this.ownership, { partition: CRASH_PARTITION, handler: this.quarantine }),
        observer,
        pause,
      ),
    ] as RecordFeed<unknown>[];
  }

  /**
   * Begins to follow the store, to run jobs and to do duties. Others find this node at these addresses (`IP:PORT`): callers
   * at the first one, nodes at `peerAddress`, if it answers them.
   */
  start(address: string, peerAddress?: string): void {
    const { signal } = this.controller;
    this.startedAtMs = monotonicMs();
    void this.peers.run(address, signal, peerAddress);
    void this.peerConfiguration.run(signal);
    void this.quarantine.reports.run(signal);
    void this.quarantineExchange.run(signal);
    void this.usage?.run(signal);
    for (const feed of this.feeds) void feed.run(signal);
    void this.sessions.run(signal);
    void this.loadCommander.run(signal);
  }

  /**
   * Whether new callers may be sent here. Without the store a node can serve no jobs, and what it knows of replicas and the
   * configuration grows old; others may have the store.
   */
  get isReady(): boolean {
    const isInformed = this.routing.current !== undefined && this.directory.ids.length > 0;
    const hasFollowed = Number.isFinite(this.operatorFeed.ageMs);
    const knowsFatalRuns = this.quarantine.isInformed || monotonicMs() - this.startedAtMs > UNINFORMED_MS;
    return !this.isDraining && isInformed && hasFollowed && knowsFatalRuns && this.parts.store.isAnswering();
  }

  /**
   * Whether a change of the configuration would be known here: a node that the store does not serve cannot tell a key or a
   * route that is not there from one that it has not heard of.
   */
  get isConfigurationCertain(): boolean {
    return this.isConfigurationFollowed || this.peerConfiguration.isConfirmed;
  }

  /**
   * Whether the store has told of changes of the configuration so lately that one which it does not know is within its bound.
   * Answers about other tables prove nothing: beside them the operator's table may be unanswered, or old.
   */
  private get isConfigurationFollowed(): boolean {
    const boundMs = Math.max(this.parts.settings().configurationBoundMs, this.usualFeedAgeMs);
    return this.parts.store.isAnswering() && this.operatorFeed.ageMs < boundMs;
  }

  /** Whether a feed goes on as usual: its newest answer is to the question before the one that is open. */
  private isFollowing(feed: RecordFeed<unknown>): boolean {
    return this.parts.store.isAnswering() && feed.ageMs < FEED_WAIT_MS + this.usualFeedAgeMs;
  }

  private get usualFeedAgeMs(): number {
    return FEED_WAIT_MS + FEED_ANSWER_MS + this.changePauseMs;
  }

  /** What another node is told that asks for a configuration newer than `version`. */
  configurationFor(version: number): PeerConfigurationAnswer {
    const { configuration } = this.operators;
    if (!configuration || !this.isConfigurationFollowed) return { kind: 'unavailable' };
    const isNewer = (this.routing.current?.version ?? 0) > version;
    return isNewer ? { kind: 'newer', value: configuration } : { kind: 'same' };
  }

  /** What another node is told that exchanges reports of requests that end replicas. */
  exchangeCrashReports(reports: readonly CrashReportMessage[]): CrashReportsAnswer {
    const known = this.quarantine.reports.newest;
    this.quarantine.addFromPeer(reports);
    return { isServed: this.parts.store.isAnswering(), reports: [...known] };
  }

  /** A request of another node for a service whose places this one deals out; `undefined` when it takes none. */
  dispatchForPeer(
    framed: Framed<DispatchMessage>,
    signal: AbortSignal,
  ): Promise<Framed<DispatchOutcomeMessage>> | undefined {
    return this.dispatch.forPeer(framed, signal);
  }

  /** Whether the node is on its way out. */
  get isLeaving(): boolean {
    return this.isDraining;
  }

  /** Counts a caller's request while it is served. */
  async track<T>(serve: () => Promise<T>): Promise<T> {
    this.openRequests += 1;
    try {
      return await serve();
    } finally {
      this.openRequests -= 1;
    }
  }

  /** Brings the gauges up to date. */
  measure(): void {
    const { metrics } = this.parts;
    metrics.items.set({ state: 'open' }, this.ownership.openItems);
    metrics.items.set({ state: 'waiting' }, this.placement.waitingCount);
    metrics.oldestJobSeconds.set({}, this.ownership.oldestAgeMs / MILLISECONDS_PER_SECOND);
    metrics.leaderLeasesHeld.set({}, this.leases.filter((lease) => lease.isHeld).length);
    this.usage?.measure();
    this.quarantine.measure();
    this.dispatch.measure();
    for (const feed of this.feeds)
      metrics.feedAge.set({ table: feed.table }, feed.ageMs / MILLISECONDS_PER_SECOND);
  }

  /** Stops all tasks at once, as a crash would. For nodes that share a process. */
  stopNow(): void {
    this.controller.abort();
  }

  /** Finishes what is under way, hands the rest over, and stops. Resolves when the process may end. */
  async drain(): Promise<void> {
    if (this.isDraining) return;
    this.isDraining = true;
    const startedAt = monotonicMs();
    const { stopGraceMs } = this.parts.settings();
    this.ownership.stopClaiming();
    void this.peers.withdraw();
    this.dispatch.close();
    await Promise.all([this.sessions.announceLeaving(), ...this.leases.map((lease) => lease.resign())]);
    await this.waitUntil(() => this.ownership.ownedCount === 0, startedAt + stopGraceMs * FINISH_FRACTION);
    await this.ownership.handOver();
    await this.waitUntil(() => monotonicMs() > startedAt + MOVE_AWAY_MS, startedAt + MOVE_AWAY_MS + 1);
    await this.waitUntil(() => this.openRequests === 0, startedAt + stopGraceMs * END_FRACTION);
    if (this.usage) await this.flushUsage();
    this.controller.abort();
  }

  /** What was counted must not be lost with this process. */
  private async flushUsage(): Promise<void> {
    await Promise.race([this.usage?.flush(AbortSignal.timeout(FLUSH_MS)), sleep(FLUSH_MS)]);
  }

  private createUsage(
    usageSettings: UsageSettings,
    self: OwnerReference,
    apartMs: () => number,
  ): UsageAccounting {
    const { store, metrics, logger, createUsageSink } = this.parts;
    return new UsageAccounting({
      settings: usageSettings,
      sink: createUsageSink(usageSettings),
      store,
      peers: this.peers,
      lease: new LeaderLease(store, USAGE_TASK, self, this.sessions, apartMs, logger),
      self,
      metrics,
      logger,
    });
  }

  /** Leases of all duties that this node may hold. */
  private get leases(): LeaderLease[] {
    return [this.loadLease, ...(this.usage ? [this.usage.lease] : [])];
  }

  private get hasModels(): boolean {
    return this.routing.current?.configuration.services.some((service) => service.models.length > 0) ?? false;
  }

  private pauseBetweenChanges(signal: AbortSignal): Promise<void> {
    return this.sessions.pauseUnlessHolder(this.changePauseMs, signal);
  }

  private get changePauseMs(): number {
    return Math.min(LONGEST_CHANGE_PAUSE_MS, this.peers.fleetSize * CHANGE_PAUSE_PER_NODE_MS);
  }

  private async waitUntil(condition: () => boolean, deadlineMs: number): Promise<void> {
    while (!condition() && monotonicMs() < deadlineMs) await sleep(DRAIN_POLL_MS);
  }
}
