/**
 * Client side of remote dispatch: forwards a request to a dispatcher of its service, and falls back to this
 * node's own queue. So a replica's queue, load and connections are at few nodes.
 *
 * Relies on fleet membership and replicas (dispatcher selection) and on the peer ports of other nodes. A
 * dispatcher that does not acknowledge in time or whose call fails is ejected; then the fallback in this
 * node's zone is called, then this node's own queue is used. Several nodes may dispatch for one service at a
 * time: replicas decline what exceeds their slots.
 */
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import {
  type DispatchOutcomeMessage,
  type Framed,
  MAX_DISPATCHED_BODY_BYTES,
} from '../../../protocol/service/dispatch-peer.js';
import type { FleetMember } from '../../../state/service/replicas/index.js';
import {
  CANCELLED_RESULT,
  type DispatchCall,
  type DispatchResult,
  type ServiceCapacity,
} from './dispatch-call.js';
import { toResult } from './dispatch-messages.js';
import { type CandidateServices, DispatcherCandidates } from './dispatcher-candidates.js';
import { DispatcherClient, type DispatcherClientServices } from './dispatcher-client.js';
import { DispatcherHealth } from './dispatcher-health.js';
import type { ServiceQueues } from './service-queues.js';

/** What remote dispatch depends on. */
export interface RemoteDispatchServices extends CandidateServices, DispatcherClientServices {
  readonly queues: ServiceQueues;
  readonly metrics: Pick<ServiceMetrics, 'dispatcherCalls'>;
  readonly logger: DecisionLogger;
}

export class RemoteDispatch {
  private readonly health: DispatcherHealth;
  private readonly candidates: DispatcherCandidates;
  private readonly client: DispatcherClient;

  constructor(private readonly services: RemoteDispatchServices) {
    this.health = new DispatcherHealth((name, reason) => this.report(name, `ejected: ${reason}`));
    this.candidates = new DispatcherCandidates(
      services,
      (name) => this.health.isCallable(name),
      (service, names) => this.report(service, names === '' ? 'no dispatchers' : `dispatchers ${names}`),
    );
    this.client = new DispatcherClient(services, this.health);
  }

  /** The fleet or the replicas have changed: dispatchers are selected anew. */
  invalidateSelections(): void {
    this.candidates.invalidate();
    this.health.retainOnly(new Set(this.services.members().map(({ name }) => name)));
  }

  /**
   * Sends a call to a dispatcher or to this node's queue. Never rejects. `isRepeatable` says whether the
   * request may run twice; one that a dispatcher may have taken ends as `unknown`.
   */
  async dispatch(call: DispatchCall, isRepeatable: boolean): Promise<DispatchResult> {
    if (call.request.body.length <= MAX_DISPATCHED_BODY_BYTES)
      for (const dispatcher of this.candidates.of(call.service)) {
        if (dispatcher.name === this.services.nodeName) break;
        const result = await this.dispatchAt(dispatcher, call, isRepeatable);
        if (result) return result;
      }
    this.services.metrics.dispatcherCalls.inc({ outcome: 'here' });
    const result = await this.services.queues.dispatch(call);
    return result.isLeaving ? this.forwardRejected(call, isRepeatable, result) : result;
  }

  /** Whether this node dispatches for the service. */
  isDispatcher(service: string): boolean {
    const [first] = this.candidates.of(service);
    return first === undefined || first.name === this.services.nodeName;
  }

  /** Whether the service has dispatchers; else each node dispatches for itself. */
  hasDispatchers(service: string): boolean {
    return this.candidates.hasDispatchers(service);
  }

  /** Sends a request that was queued here when this node began to leave to another node, if there is any. */
  private async forwardRejected(
    call: DispatchCall,
    isRepeatable: boolean,
    rejected: DispatchResult,
  ): Promise<DispatchResult> {
    this.invalidateSelections();
    for (const dispatcher of this.candidates.of(call.service)) {
      if (dispatcher.name === this.services.nodeName) continue;
      const result = await this.dispatchAt(dispatcher, call, isRepeatable);
      if (result) return result;
    }
    return rejected;
  }

  /** The result at a dispatcher; `undefined` when it has not run there and is to be sent elsewhere. */
  private async dispatchAt(
    dispatcher: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<DispatchResult | undefined> {
    if (call.signal.aborted) return CANCELLED_RESULT;
    call.onHandOver?.(true);
    const answer = await this.client.call(dispatcher, call, isRepeatable);
    this.services.metrics.dispatcherCalls.inc({ outcome: answer.kind });
    if (answer.kind === 'not-taken') {
      call.onHandOver?.(false);
      this.health.eject(dispatcher.name, answer.reason);
      return undefined;
    }
    if (call.signal.aborted) return CANCELLED_RESULT;
    if (answer.kind === 'outcome') return this.resultOf(answer.outcome, dispatcher, call);
    this.health.eject(dispatcher.name, answer.reason);
    const reason = `${dispatcher.name}: ${answer.reason}`;
    return { outcome: { kind: 'unknown', reason }, hasCrashedReplica: false, via: dispatcher.name };
  }

  /** The result in an outcome; `undefined` when the dispatcher cannot serve it and another node may. */
  private resultOf(
    outcome: Framed<DispatchOutcomeMessage>,
    { name }: FleetMember,
    call: DispatchCall,
  ): DispatchResult | undefined {
    const { kind, room: capacity, isClosed } = outcome.message;
    if (capacity) this.candidates.recordCapacity(name, capacity);
    if (isClosed) this.health.eject(name, 'it is leaving');
    if (!isClosed && !(kind === 'declined' && this.knowsMoreReplicas(call.service, capacity)))
      return toResult(outcome, name);
    call.onHandOver?.(false);
    return undefined;
  }

  /** Whether a dispatcher knows no replicas and this node does: it has just started, or lost the store. */
  private knowsMoreReplicas(service: string, capacity: ServiceCapacity | undefined): boolean {
    return capacity?.slots === 0 && this.services.directory.availableOf(service).length > 0;
  }

  /** The log's subject `home` is a dispatcher, or the dispatchers of a service. */
  private report(name: string, change: string): void {
    this.services.logger.record({ event: 'belief-changed', subject: 'home', name, change, version: 0 });
  }
}
