/** Composes request dispatch of one node: its queues, forwarding to dispatchers, and the member list. */
import type { DecisionLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import {
  type DispatchCall,
  isLate,
  type PeerCall,
  RemoteDispatch,
  type ReplicaExchange,
  reportLateCall,
  ServiceQueues,
  toCall,
  toOutcomeMessage,
  transitMsOf,
} from '../../coordination/service/dispatch/index.js';
import type { JobGate } from '../../coordination/service/jobs/index.js';
import { FleetDirectory } from '../../coordination/service/membership/index.js';
import type { RecordStore } from '../../protocol/record-store.js';
import type {
  DispatchMessage,
  DispatchOutcomeMessage,
  Framed,
} from '../../protocol/service/dispatch-peer.js';
import type { ServiceSettings } from '../../protocol/service/service-settings.js';
import type { RejectionReason } from '../../state/service/admission/index.js';
import type { RoutingTable } from '../../state/service/configuration/index.js';
import type { ReplicaDirectory, ReplicaState } from '../../state/service/replicas/index.js';
import type { ReportUnreadable } from '../../state/service/store/index.js';
import type { MemoryBudget } from '../../transport/memory-budget.js';

/** Maximum requests in each queue. */
const MAX_QUEUED = 2_000;
/** Added to the load of replicas in other zones: they are used once the local zone is half full. */
const OTHER_ZONE_PENALTY = 0.5;

export interface NodeDispatchDependencies {
  readonly store: RecordStore;
  readonly settings: ServiceSettings;
  readonly routing: RoutingTable;
  readonly directory: ReplicaDirectory;
  readonly exchange: ReplicaExchange;
  readonly dispatchAtPeer: PeerCall;
  readonly jobGate: JobGate;
  readonly reportUnreadable: ReportUnreadable;
  /** Counts the bodies of queued requests, among others. */
  readonly budget: MemoryBudget;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

export class NodeDispatch {
  readonly fleet: FleetDirectory;
  readonly remote: RemoteDispatch;
  private readonly queues: ServiceQueues;

  constructor(private readonly services: NodeDispatchDependencies) {
    const { store, settings, directory, exchange, dispatchAtPeer, metrics, logger } = services;
    this.fleet = new FleetDirectory(store, services.reportUnreadable);
    this.queues = new ServiceQueues({
      directory,
      exchange,
      slotsOf: (state) => this.slotsOf(state),
      slowStartPerSecond: ({ replica }) => this.slowStartPerSecond(replica.service),
      zonePenalty: (state) => this.zonePenalty(state),
      obstacle: (call) => this.obstacleOf(call),
      queueLimits: { count: MAX_QUEUED, bytes: services.budget.limitBytes },
      metrics,
      logger,
    });
    this.remote = new RemoteDispatch({
      nodeName: settings.nodeName,
      zone: settings.zone,
      members: () => this.fleet.members,
      directory,
      queues: this.queues,
      isStoreAnswering: () => store.isAnswering(),
      storeTimeMs: () => store.clock()?.latestMs,
      call: dispatchAtPeer,
      metrics,
      logger,
    });
    this.fleet.onChange(() => this.remote.invalidateSelections());
    directory.onChange(() => this.remote.invalidateSelections());
  }

  /**
   * Queues a request from a peer; `undefined` while draining, while only the peer reaches the store, while this
   * node cannot tell whether the job of the request is open, or if the request took too long to arrive.
   */
  dispatchForPeer(
    framed: Framed<DispatchMessage>,
    signal: AbortSignal,
  ): Promise<Framed<DispatchOutcomeMessage>> | undefined {
    const isStale = framed.message.isServed && !this.services.store.isAnswering();
    if (this.queues.areClosed || isStale || this.isUnconfirmed(framed.message)) return undefined;
    const transitMs = transitMsOf(framed.message, this.services.store.clock()?.earliestMs);
    if (transitMs !== undefined && isLate(transitMs)) {
      reportLateCall(this.services, framed.message, transitMs);
      return undefined;
    }
    return this.queues.dispatch(toCall(framed, transitMs, signal)).then(toOutcomeMessage);
  }

  /** Stops dispatching: queued requests are rejected and retried at other nodes. */
  close(): void {
    this.queues.close();
  }

  /** Sets the gauges. */
  measure(): void {
    const { metrics } = this.services;
    for (const [service, queue] of this.queues.all) {
      metrics.queuedRequests.set({ service }, queue.queuedCount);
      metrics.freeSlots.set({ service }, queue.capacity.free);
      metrics.retryBudgetLeft.set({ service }, queue.retryBudgetLeft);
    }
  }

  private slotsOf(state: ReplicaState): number {
    return this.services.routing.current?.slotsOf(state.replica) ?? state.replica.slots;
  }

  /** None at a dispatcher: it serves callers of all zones, so no zone is local. */
  private zonePenalty({ replica }: ReplicaState): number {
    const { settings } = this.services;
    const isLocal = replica.zone === settings.zone || this.remote.hasDispatchers(replica.service);
    return isLocal ? 0 : OTHER_ZONE_PENALTY;
  }

  /** A dispatcher sends nearly all requests of a replica; without dispatchers the nodes share the rate. */
  private slowStartPerSecond(service: string): number | undefined {
    const perSecond = this.services.routing.current?.slowStartPerSecondOf(service);
    if (perSecond === undefined || this.remote.isDispatcher(service)) return perSecond;
    return perSecond / Math.max(1, this.fleet.members.length);
  }

  /** Whether another node should take a request since this one's view of its job is too old. */
  private isUnconfirmed({ jobId }: DispatchMessage): boolean {
    return jobId !== undefined && this.services.jobGate.check(jobId) === 'unconfirmed';
  }

  private obstacleOf(call: DispatchCall): RejectionReason | undefined {
    if (!this.isAllowed(call)) return 'route-removed';
    const verdict = call.jobId === undefined ? 'open' : this.services.jobGate.check(call.jobId);
    return verdict === 'open' ? undefined : `job-${verdict}`;
  }

  /** Whether a queued request still has a route to its service under the current configuration. */
  private isAllowed({ service, request, configVersion }: DispatchCall): boolean {
    const snapshot = this.services.routing.current;
    if (!snapshot || snapshot.version <= configVersion) return true;
    const route = snapshot.match(request.host, request.path);
    return route?.targets.some((target) => target.service === service) ?? false;
  }
}
