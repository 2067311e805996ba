/**
 * A node that serves routes and batch jobs over a record store: composes its subsystems, starts and drains
 * them. An adapter supplies the store, the wire format of replicas and the operators' records
 * (`ServiceNodeDependencies`), and translates callers' requests into the calls below.
 */
import { setMaxListeners } from 'node:events';
import { monotonicMs, SYSTEM_CLOCK } from '../../common/clock.js';
import { CrashCheck, ReplicaExchange } from '../../coordination/service/dispatch/index.js';
import type { JobCalls, JobGate } from '../../coordination/service/jobs/index.js';
import { PeerAddresses, SessionMonitor } from '../../coordination/service/membership/index.js';
import {
  type ExecutionCounter,
  RequestQuarantine,
  type SendAttempt,
  ServiceRelay,
} from '../../coordination/service/requests/index.js';
import type { LoadScheduler } from '../../coordination/service/weights/index.js';
import type { PeerConfigurationAnswer } from '../../protocol/service/configuration-peer.js';
import type { CrashReportMessage, CrashReportsAnswer } from '../../protocol/service/crash-report-peer.js';
import type {
  DispatchMessage,
  DispatchOutcomeMessage,
  Framed,
} from '../../protocol/service/dispatch-peer.js';
import { type RoutingTable, TargetSplitter } from '../../state/service/configuration/index.js';
import type { MemoryBudget } from '../../transport/memory-budget.js';
import { type DrainDeadlines, drainDeadlines, untilSettled, waitUntil } from './drain.js';
import { createJobGate } from './job-gating.js';
import { createNodeContext, type NodeContext, type ServiceNodeDependencies } from './node-context.js';
import { NodeDispatch } from './node-dispatch.js';
import { NodeFeeds } from './node-feeds.js';
import { NodeJobs } from './node-jobs.js';
import { type CallerConnections, OpenRequests } from './open-requests.js';
import { PeerExchange } from './peer-exchange.js';
import { isReady } from './readiness.js';
import { CombinedSessionRoles } from './session-roles.js';
import { SingletonTasks } from './singleton-tasks.js';
import { createLoadScheduler } from './weight-loading.js';

/** Subsystems that are started, measured or drained. */
interface Subsystems {
  readonly peers: PeerAddresses;
  readonly sessions: SessionMonitor;
  readonly quarantine: RequestQuarantine;
  readonly dispatch: NodeDispatch;
  readonly tasks: SingletonTasks;
  readonly jobs: NodeJobs;
  readonly jobGate: JobGate;
  readonly feeds: NodeFeeds;
  readonly peerExchange: PeerExchange;
  readonly loadScheduler: LoadScheduler;
}

export class ServiceNode {
  readonly routing: RoutingTable;
  readonly relay: ServiceRelay;
  readonly jobs: JobCalls;
  /** Callers' requests, and those that other nodes forwarded. */
  readonly requests = new OpenRequests();
  private readonly context: NodeContext;
  private readonly subsystems: Subsystems;
  private readonly controller = new AbortController();
  private isDraining = false;
  private startedAtMs = Number.POSITIVE_INFINITY;

  constructor(parts: ServiceNodeDependencies) {
    setMaxListeners(0, this.controller.signal);
    const context = createNodeContext(parts);
    const { store, self, routing, metrics, logger, reportUnreadable } = context;
    const settings = parts.settings();
    const traits = { zone: settings.zone, capacity: settings.processorCores };
    const peers = new PeerAddresses(store, self.node, logger, SYSTEM_CLOCK, traits, reportUnreadable);
    const roles = new CombinedSessionRoles(() => peers.fleetSize);
    const sessions = new SessionMonitor(store, self, roles, SYSTEM_CLOCK, reportUnreadable);
    const quarantine = new RequestQuarantine({ store, metrics, logger });
    const splitter = new TargetSplitter();
    const jobGate = createJobGate(context);
    const crashCheck = new CrashCheck(metrics);
    const exchange = new ReplicaExchange(parts.client, crashCheck, parts.budget, metrics, logger);
    const dispatch = new NodeDispatch({ ...context, settings, exchange, jobGate });
    const tasks = new SingletonTasks(context, sessions, peers);
    const send: SendAttempt = (call, isRepeatable) => dispatch.remote.dispatch(call, isRepeatable);
    const count: ExecutionCounter = (tenant) => tasks.countRequest(tenant);
    const relay = new ServiceRelay(splitter, send, quarantine, count, this.requests.ending);
    const isConfigurationCurrent = () => this.isConfigurationCurrent;
    const shared = { splitter, crashCheck, quarantine, relay, sessions, peers, jobGate };
    const jobs = new NodeJobs(context, { ...shared, isConfigurationCurrent });
    const { ownership } = jobs;
    for (const role of [jobs.sessionRole, tasks]) roles.add(role);
    sessions.onPoll((records) => tasks.observe(records, !this.isDraining));
    const feeds = new NodeFeeds(context, { fleet: dispatch.fleet, ownership, quarantine, sessions, peers });
    this.subsystems = {
      peers,
      sessions,
      quarantine,
      dispatch,
      tasks,
      jobs,
      jobGate,
      feeds,
      peerExchange: new PeerExchange(context, { ownership, quarantine, peers, feeds }),
      loadScheduler: createLoadScheduler(context, tasks.loadLease, ownership),
    };
    this.context = context;
    this.routing = routing;
    this.relay = relay;
    this.jobs = jobs.calls;
  }

  /**
   * Starts all subsystems. `address` (`IP:PORT`) serves callers, `peerAddress` other nodes; without it peers
   * send no requests to this node.
   */
  start(address: string, peerAddress?: string): void {
    const { signal } = this.controller;
    const { peers, sessions, quarantine, tasks, jobGate, feeds, peerExchange, loadScheduler } =
      this.subsystems;
    this.startedAtMs = monotonicMs();
    void peers.run(address, signal, peerAddress);
    peerExchange.run(signal);
    void quarantine.reports.run(signal);
    void tasks.usage?.run(signal);
    feeds.run(signal);
    void jobGate.run(signal);
    void sessions.run(signal);
    void loadScheduler.run(signal);
  }

  /** What the process holds for callers, peers and replicas. */
  get budget(): MemoryBudget {
    return this.context.budget;
  }

  /** Whether load balancers may send requests here; see `readiness.ts` for the rule. */
  get isReady(): boolean {
    return isReady({
      isDraining: this.isDraining,
      isStoreAnswering: this.context.store.isAnswering(),
      hasConfiguration: this.routing.current !== undefined,
      knownReplicaCount: this.context.directory.ids.length,
      operatorFeedAgeMs: this.subsystems.feeds.operatorFeedAgeMs,
      hasReadCrashReports: this.subsystems.quarantine.hasLoadedReports,
      uptimeMs: monotonicMs() - this.startedAtMs,
    });
  }

  /**
   * Whether the configuration is up to date. Otherwise a newer one may have keys and routes that are unknown
   * here, and callers that use them get 503 instead of 401 or 404.
   */
  get isConfigurationCurrent(): boolean {
    const { feeds, peerExchange } = this.subsystems;
    return feeds.isConfigurationFresh || peerExchange.isConfigurationConfirmed;
  }

  /** Answers a peer's request for a configuration newer than `version`. */
  configurationFor(version: number): PeerConfigurationAnswer {
    return this.subsystems.peerExchange.configurationFor(version);
  }

  /** Adds a peer's crash reports; returns this node's. */
  exchangeCrashReports(reports: readonly CrashReportMessage[]): CrashReportsAnswer {
    return this.subsystems.peerExchange.exchangeCrashReports(reports);
  }

  /** Dispatches a request that another node forwarded; `undefined` when this node accepts none. */
  dispatchForPeer(
    framed: Framed<DispatchMessage>,
    signal: AbortSignal,
  ): Promise<Framed<DispatchOutcomeMessage>> | undefined {
    return this.subsystems.dispatch.dispatchForPeer(framed, signal);
  }

  /** Whether the node has begun to drain. */
  get isLeaving(): boolean {
    return this.isDraining;
  }

  /** Sets the gauges. */
  measure(): void {
    const { jobs, tasks, quarantine, dispatch, feeds } = this.subsystems;
    for (const part of [jobs, tasks, quarantine, dispatch, feeds]) part.measure();
  }

  /** Stops all tasks immediately, without draining; for nodes that share a process. */
  stopNow(): void {
    this.controller.abort();
  }

  /**
   * Finishes or hands over open work. Resolves when the process may exit, before the end of the grace period also
   * if the store does not answer; a second call resolves at once. Idle connections are closed when load balancers
   * send new ones to other nodes.
   */
  async drain(connections: CallerConnections): Promise<void> {
    if (this.isDraining) return;
    this.isDraining = true;
    const deadlines = drainDeadlines(monotonicMs(), this.context.settings().stopGraceMs);
    this.requests.beginDrain(deadlines);
    const handedOver = this.handOver(deadlines);
    await waitUntil(() => false, deadlines.trafficMovedAtMs);
    connections.closeIdleConnections();
    await untilSettled(handedOver, deadlines.finishRequestsAtMs);
    await this.requests.finish(deadlines, connections);
    await untilSettled(this.subsystems.tasks.flushUsage(), deadlines.exitAtMs);
    this.controller.abort();
  }

  /** Hands over jobs and leases. */
  private async handOver({ finishJobsAtMs }: DrainDeadlines): Promise<void> {
    const { jobs, peers, sessions, dispatch, tasks } = this.subsystems;
    const { ownership } = jobs;
    ownership.stopClaiming();
    void peers.withdraw();
    dispatch.close();
    await Promise.all([sessions.announceDraining(), tasks.releaseLeases()]);
    await waitUntil(() => ownership.ownedCount === 0, finishJobsAtMs);
    await ownership.releaseAll();
  }
}
