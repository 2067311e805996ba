/**
 * Client side of remote dispatch: forwards a request to a dispatcher of its service, so that the queue and
 * the load of a replica are known at few nodes. A failing dispatcher is ejected. Requests that it has not
 * accepted go to the fallback in this node's zone, then to this node's own queue.
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

/** Dependencies of `RemoteDispatch`. */
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

  /** Discards the dispatcher selections after a change of the fleet or the replicas. */
  invalidateSelections(): void {
    this.candidates.invalidate();
    this.health.retainOnly(new Set(this.services.members().map(({ name }) => name)));
  }

  /**
   * Sends a call to a dispatcher or to this node's queue. Never rejects. `isRepeatable` states whether the
   * request may run twice. A request that a failed dispatcher may have accepted ends as `unknown`.
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

  /** Whether the service has dispatchers. Otherwise each node dispatches its own requests. */
  hasDispatchers(service: string): boolean {
    return this.candidates.hasDispatchers(service);
  }

  /** Forwards a request that was rejected because this node is leaving to another node, if there is one. */
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

  /** Sends a call to a dispatcher. Returns `undefined` if it did not run and should be sent elsewhere. */
  private async dispatchAt(
    dispatcher: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<DispatchResult | undefined> {
    if (call.signal.aborted) return CANCELLED_RESULT;
    call.onHandOver?.(true);
    const answer = await this.client.call(dispatcher, call, isRepeatable);
    this.services.metrics.dispatcherCalls.inc({ outcome: answer.kind });
    if (answer.kind === 'not-taken') this.health.eject(dispatcher.name, answer.reason);
    if (answer.kind === 'not-taken' || answer.kind === 'not-sent') {
      call.onHandOver?.(false);
      return undefined;
    }
    if (call.signal.aborted) return CANCELLED_RESULT;
    if (answer.kind === 'outcome') return this.resultOf(answer.outcome, dispatcher, call);
    this.health.eject(dispatcher.name, answer.reason);
    const reason = `${dispatcher.name}: ${answer.reason}`;
    return { outcome: { kind: 'unknown', reason }, hasCrashedReplica: false, via: dispatcher.name };
  }

  /** Converts an outcome to a result; `undefined` if only another node may serve the call. */
  private resultOf(
    outcome: Framed<DispatchOutcomeMessage>,
    { name }: FleetMember,
    call: DispatchCall,
  ): DispatchResult | undefined {
    const { kind, room: capacity, isClosed } = outcome.message;
    if (capacity) this.candidates.recordCapacity(name, capacity);
    if (isClosed) this.health.eject(name, 'the dispatcher is leaving');
    if (!isClosed && !(kind === 'declined' && this.knowsMoreReplicas(call.service, capacity)))
      return toResult(outcome, name);
    call.onHandOver?.(false);
    return undefined;
  }

  /** Whether this node knows replicas and the dispatcher none, as after its start or without the store. */
  private knowsMoreReplicas(service: string, capacity: ServiceCapacity | undefined): boolean {
    return capacity?.slots === 0 && this.services.directory.availableOf(service).length > 0;
  }

  /** Logs a change. The subject `home` stands for a dispatcher, or for the dispatchers of a service. */
  private report(name: string, change: string): void {
    this.services.logger.record({ event: 'belief-changed', subject: 'home', name, change, version: 0 });
  }
}
