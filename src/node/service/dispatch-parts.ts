/** Puts together how requests of callers and scoring calls reach replicas: queues here, homes elsewhere, the fleet they are found in. */
import type { DecisionLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import {
  type DispatchCall,
  type PeerCall,
  RemoteDispatch,
  type ReplicaExchange,
  ServiceQueues,
  toCall,
  toOutcomeMessage,
} from '../../coordination/service/dispatch/index.js';
import { FleetDirectory } from '../../coordination/service/membership/index.js';
import type { RecordStore } from '../../protocol/record-store.js';
import type {
  DispatchMessage,
  DispatchOutcomeMessage,
  Framed,
} from '../../protocol/service/dispatch-peer.js';
import type { ServiceSettings } from '../../protocol/service/service-settings.js';
import type { RoutingTable } from '../../state/service/configuration/index.js';
import type { ReplicaDirectory, ReplicaState } from '../../state/service/replicas/index.js';

/** Requests that may wait at one node, and the part of its memory that their bodies may take. */
const MAX_WAITING = 2_000;
const WAITING_FRACTION = 0.05;
/** What a replica in another zone counts, as a part of its places: it is taken once those in the own zone are half full. */
const OTHER_ZONE = 0.5;

/** What the dispatch is made of. */
export interface DispatchServices {
  readonly store: RecordStore;
  readonly settings: ServiceSettings;
  readonly routing: RoutingTable;
  readonly directory: ReplicaDirectory;
  readonly exchange: ReplicaExchange;
  readonly callPeer: PeerCall;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** The dispatch of one node. */
export class DispatchParts {
  readonly fleet: FleetDirectory;
  readonly remote: RemoteDispatch;
  private readonly queues: ServiceQueues;

  constructor(private readonly services: DispatchServices) {
    const { store, settings, directory, exchange, callPeer, metrics, logger } = services;
    this.fleet = new FleetDirectory(store);
    this.queues = new ServiceQueues({
      directory,
      exchange,
      slotsOf: (state) => this.slotsOf(state),
      slowStartPerSecond: ({ replica }) => this.slowStartPerSecond(replica.service),
      zonePenalty: (state) => this.zonePenalty(state),
      isAllowed: (call) => this.isAllowed(call),
      bounds: { count: MAX_WAITING, bytes: settings.memoryBytes * WAITING_FRACTION },
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
      call: callPeer,
      metrics,
      logger,
    });
    this.fleet.onChange(() => this.remote.noteChange());
    directory.onChange(() => this.remote.noteChange());
  }

  /** A call of another node, whose outcome it is told; `undefined` when this node takes none, or knows less than the other. */
  forPeer(
    framed: Framed<DispatchMessage>,
    signal: AbortSignal,
  ): Promise<Framed<DispatchOutcomeMessage>> | undefined {
    const knowsLess = framed.message.isServed && !this.services.store.isAnswering();
    if (this.queues.areClosed || knowsLess) return undefined;
    return this.queues.dispatch(toCall(framed, signal)).then(toOutcomeMessage);
  }

  /** Deals out no places any more: what waits is refused, and goes to other nodes. */
  close(): void {
    this.queues.close();
  }

  /** Brings the gauges up to date. */
  measure(): void {
    const { metrics } = this.services;
    for (const [service, queue] of this.queues.all) {
      metrics.waitingRequests.set({ service }, queue.waitingCount);
      metrics.freeSlots.set({ service }, queue.capacity.free);
      metrics.retryBudgetLeft.set({ service }, queue.retryBudgetLeft);
    }
  }

  private slotsOf(state: ReplicaState): number {
    return this.services.routing.current?.slotsOf(state.replica) ?? state.replica.slots;
  }

  /** A home serves callers of all zones, so its own is no nearer to them. */
  private zonePenalty({ replica }: ReplicaState): number {
    const { settings } = this.services;
    const isNear = replica.zone === settings.zone || this.remote.hasDispatchers(replica.service);
    return isNear ? 0 : OTHER_ZONE;
  }

  /** A home sends nearly all that a replica gets; without one each node sends its part. */
  private slowStartPerSecond(service: string): number | undefined {
    const perSecond = this.services.routing.current?.slowStartPerSecondOf(service);
    if (perSecond === undefined || this.remote.isDispatcher(service)) return perSecond;
    return perSecond / Math.max(1, this.fleet.members.length);
  }

  /** A request that has waited must still have a route that leads to its service, if a newer configuration is in force here. */
  private isAllowed({ service, request, configVersion }: DispatchCall): boolean {
    const snapshot = this.services.routing.current;
    if (!snapshot || snapshot.version <= configVersion) return true;
    const route = snapshot.match(request.host, request.path);
    return route?.targets.some((target) => target.service === service) ?? false;
  }
}
