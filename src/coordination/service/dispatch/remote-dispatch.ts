/**
 * Sends a request to the node that deals out the places of the service's replicas (its home), or deals with it here: where this
 * node is that home, where the fleet is so small that each node sees enough by itself, and where no home can be reached. So a
 * replica's load, connections and queue are in one place, at the cost of one short hop.
 *
 * A home that is lost, leaves, is cut off or stands still is passed over after `ACKNOWLEDGE_MS` at most; then the first in line in
 * this node's own zone takes its place, then this node itself. Nothing depends on there being one home only: replicas decline what
 * is too much.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import {
  type DispatchMessage,
  type DispatchOutcomeMessage,
  type Framed,
  MAX_DISPATCHED_BODY_BYTES,
  type PeerDispatch,
  type PeerDispatchOptions,
} from '../../../protocol/service/dispatch-peer.js';
import {
  dispatcherCount,
  type FleetMember,
  type ReplicaDirectory,
  rankDispatchers,
} from '../../../state/service/replicas/index.js';
import type { DispatchCall, DispatchResult, ServiceCapacity } from './dispatch-call.js';
import { ACKNOWLEDGE_TIMEOUT_MS, DispatcherHealth } from './dispatcher-health.js';
import type { AttemptOutcome } from './replica-exchange.js';
import type { ServiceQueues } from './service-queues.js';

/** A repeatable request whose home does not acknowledge it is sent elsewhere after this time, milliseconds. */
const UNACKNOWLEDGED_MS = 2.5 * ACKNOWLEDGE_TIMEOUT_MS;
/** Time that the home's answer may take beyond the request's own, milliseconds. */
const ANSWER_MARGIN_MS = 250;
/** What a home says of its room counts for this long where one of several homes is chosen, milliseconds. */
const MAX_CAPACITY_AGE_MS = 1_000;

/** What the dispatch works with. */
export interface RemoteDispatchServices {
  readonly nodeName: string;
  readonly zone: string;
  readonly members: () => readonly FleetMember[];
  readonly directory: ReplicaDirectory;
  readonly queues: ServiceQueues;
  /** Whether the store serves this node. */
  readonly isStoreAnswering: () => boolean;
  /** Gives a call to the node at an address. */
  readonly call: (
    address: string,
    framed: Framed<DispatchMessage>,
    options: PeerDispatchOptions,
  ) => Promise<PeerDispatch>;
  readonly metrics: Pick<ServiceMetrics, 'dispatcherCalls'>;
  readonly logger: DecisionLogger;
}

/** The homes of one service, the first in line first. */
interface DispatcherCandidates {
  readonly dispatchers: readonly FleetMember[];
  /** First in line within this node's zone, beyond the homes. */
  readonly nearest: FleetMember | undefined;
}

/** What a home last said of its room. */
interface ReportedCapacity {
  readonly capacity: ServiceCapacity;
  readonly atMs: number;
}

/** Sends the calls of one node. */
export class RemoteDispatch {
  private readonly health: DispatcherHealth;
  private readonly candidatesByService = new Map<string, DispatcherCandidates>();
  private readonly reportedCapacities = new Map<string, ReportedCapacity>();
  /** Names of the homes that were last reported, by service. */
  private readonly reported = new Map<string, string>();

  constructor(private readonly services: RemoteDispatchServices) {
    this.health = new DispatcherHealth((name, reason) => this.report(name, `passed over: ${reason}`));
  }

  /** The fleet or the replicas have changed: the homes are found anew. */
  noteChange(): void {
    this.candidatesByService.clear();
    this.health.keepOnly(new Set(this.services.members().map(({ name }) => name)));
  }

  /** Sends a call. Never rejects. */
  async dispatch(call: DispatchCall, isRepeatable: boolean): Promise<DispatchResult> {
    if (call.request.body.length <= MAX_DISPATCHED_BODY_BYTES)
      for (const dispatcher of this.candidates(call.service)) {
        if (dispatcher.name === this.services.nodeName) break;
        const result = await this.dispatchAt(dispatcher, call, isRepeatable);
        if (result) return result;
      }
    this.services.metrics.dispatcherCalls.inc({ outcome: 'here' });
    const result = await this.services.queues.dispatch(call);
    return result.isClosed ? this.passOn(call, isRepeatable, result) : result;
  }

  /** This node has begun to leave while the request waited here: it is given to another one, if there is any. */
  private async passOn(
    call: DispatchCall,
    isRepeatable: boolean,
    refused: DispatchResult,
  ): Promise<DispatchResult> {
    this.noteChange();
    for (const dispatcher of this.candidates(call.service)) {
      if (dispatcher.name === this.services.nodeName) continue;
      const result = await this.dispatchAt(dispatcher, call, isRepeatable);
      if (result) return result;
    }
    return refused;
  }

  /** Whether this node deals out places of the service, as far as it knows. */
  isDispatcher(service: string): boolean {
    const [first] = this.candidates(service);
    return first === undefined || first.name === this.services.nodeName;
  }

  /** Whether the places of a service are dealt out by homes. */
  hasDispatchers(service: string): boolean {
    return this.candidatesOf(service).dispatchers.length > 0;
  }

  /** Nodes to ask, in this order; none where this node deals with the service itself. */
  private candidates(service: string): FleetMember[] {
    const { dispatchers, nearest } = this.candidatesOf(service);
    const healthy = dispatchers.filter(({ name }) => this.health.takesCalls(name));
    if (healthy.length > 0) return [this.leastLoaded(healthy), ...(nearest ? [nearest] : [])];
    return nearest && this.health.takesCalls(nearest.name) ? [nearest] : [];
  }

  private candidatesOf(service: string): DispatcherCandidates {
    const known = this.candidatesByService.get(service);
    if (known) return known;
    const line = this.selectCandidates(service);
    this.candidatesByService.set(service, line);
    this.reportDispatchers(service, line.dispatchers.map(({ name }) => name).join(' '));
    return line;
  }

  private selectCandidates(service: string): DispatcherCandidates {
    const { directory, members, zone } = this.services;
    const replicas = directory.availableOf(service);
    const fleet = members();
    if (
      !needsDispatchers(
        fleet.length,
        replicas.map(({ replica }) => replica.slots),
      )
    )
      return { dispatchers: [], nearest: undefined };
    const ranked = rankDispatchers(service, fleet);
    const dispatchers = ranked.slice(0, dispatcherCount(replicas.length));
    return {
      dispatchers,
      nearest: ranked.find((member) => member.zone === zone && !dispatchers.includes(member)),
    };
  }

  /** Of two homes drawn by chance the one with more room for those that wait, so that nodes do not all choose the same. */
  private leastLoaded(dispatchers: readonly FleetMember[]): FleetMember {
    const one = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    const other = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    return this.load(other.name) < this.load(one.name) ? other : one;
  }

  private load(name: string): number {
    const last = this.reportedCapacities.get(name);
    if (!last || monotonicMs() - last.atMs > MAX_CAPACITY_AGE_MS) return 0;
    const { free, slots, waiting } = last.capacity;
    return (slots - free + waiting) / Math.max(1, slots);
  }

  /** The result of a call at a home; `undefined` when the home has certainly not taken it. */
  private async dispatchAt(
    dispatcher: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<DispatchResult | undefined> {
    const { metrics } = this.services;
    if (call.signal.aborted) return { outcome: { kind: 'cancelled' }, hasCrashedReplica: false };
    call.onHandOver?.(true);
    const answer = await this.callDispatcher(dispatcher, call, isRepeatable);
    metrics.dispatcherCalls.inc({ outcome: answer.kind });
    if (answer.kind === 'not-taken') {
      call.onHandOver?.(false);
      this.health.eject(dispatcher.name, answer.reason);
      return undefined;
    }
    if (call.signal.aborted) return { outcome: { kind: 'cancelled' }, hasCrashedReplica: false };
    if (answer.kind === 'lost') {
      this.health.eject(dispatcher.name, answer.reason);
      const reason = `${dispatcher.name}: ${answer.reason}`;
      return { outcome: { kind: 'unknown', reason }, hasCrashedReplica: false, via: dispatcher.name };
    }
    const { message } = answer.outcome;
    if (message.room)
      this.reportedCapacities.set(dispatcher.name, { capacity: message.room, atMs: monotonicMs() });
    if (message.isClosed) this.health.eject(dispatcher.name, 'it is leaving');
    if (message.isClosed || (message.kind === 'declined' && this.knowsMore(call.service, message.room))) {
      call.onHandOver?.(false);
      return undefined;
    }
    return toResult(answer.outcome, dispatcher.name);
  }

  /** Whether a home knows no replicas where this node does: it has just started, or hears nothing. */
  private knowsMore(service: string, capacity: ServiceCapacity | undefined): boolean {
    return capacity?.slots === 0 && this.services.directory.availableOf(service).length > 0;
  }

  private async callDispatcher(
    dispatcher: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<PeerDispatch> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    call.signal.addEventListener('abort', abort, { once: true });
    const number = this.health.begin(dispatcher.name);
    const unacknowledged = isRepeatable ? setTimeout(abort, UNACKNOWLEDGED_MS) : undefined;
    const remainingMs = call.deadlineMs - monotonicMs();
    try {
      return await this.services.call(
        dispatcher.peerAddress,
        toMessage(call, this.services.isStoreAnswering()),
        {
          onTaken: () => {
            clearTimeout(unacknowledged);
            this.health.acknowledge(dispatcher.name, number, true);
          },
          timeoutMs: Math.max(1, remainingMs + ANSWER_MARGIN_MS),
          signal: controller.signal,
        },
      );
    } finally {
      clearTimeout(unacknowledged);
      this.health.acknowledge(dispatcher.name, number, false);
      call.signal.removeEventListener('abort', abort);
    }
  }

  private reportDispatchers(service: string, names: string): void {
    if ((this.reported.get(service) ?? '') === names) return;
    this.reported.set(service, names);
    this.report(service, names === '' ? 'no homes' : `homes ${names}`);
  }

  private report(name: string, change: string): void {
    this.services.logger.record({ event: 'belief-changed', subject: 'home', name, change, version: 0 });
  }
}

/**
 * Whether a fleet of so many nodes needs homes: where nodes outnumber the requests that a replica runs at once, a node has less than
 * one of them in flight when the replica is full, and learns nothing from its own.
 */
export function needsDispatchers(nodeCount: number, slots: readonly number[]): boolean {
  return slots.length > 0 && nodeCount > Math.min(...slots);
}

function toMessage(call: DispatchCall, isServed: boolean): Framed<DispatchMessage> {
  const nowMs = monotonicMs();
  const { id, method, path, host, headers, tenant, body } = call.request;
  return {
    message: {
      service: call.service,
      workKind: call.workKind,
      id,
      method,
      path,
      host,
      headers: headers as DispatchMessage['headers'],
      ...(tenant === undefined ? {} : { tenant }),
      rank: call.priority,
      party: call.flow,
      isPatient: call.isBackground,
      isExtra: call.isHedge,
      isRetry: call.isRetry,
      aimMs: call.targetAtMs - nowMs,
      leftMs: Math.max(0, call.deadlineMs - nowMs),
      excluded: [...call.excluded],
      configVersion: call.configVersion,
      isServed,
    },
    body,
  };
}

/** The call in another node's message. */
export function toCall({ message, body }: Framed<DispatchMessage>, signal: AbortSignal): DispatchCall {
  const {
    service,
    workKind,
    rank: priority,
    party: flow,
    isPatient: isBackground,
    isExtra: isHedge,
    isRetry,
    aimMs,
    leftMs,
    excluded,
    configVersion,
    isServed: _,
    ...request
  } = message;
  const nowMs = monotonicMs();
  return {
    service,
    workKind,
    request: { ...request, body },
    priority,
    flow,
    isBackground,
    isHedge,
    isRetry,
    targetAtMs: nowMs + aimMs,
    deadlineMs: nowMs + leftMs,
    excluded: new Set(excluded),
    configVersion,
    signal,
  };
}

/** What another node is told of a result. */
export function toOutcomeMessage(result: DispatchResult): Framed<DispatchOutcomeMessage> {
  const { outcome, replica, hasCrashedReplica, retryAfterMs, capacity, isClosed } = result;
  const shared = {
    kind: outcome.kind,
    hasEndedReplica: hasCrashedReplica,
    ...(replica ? { replica } : {}),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(capacity ? { room: capacity } : {}),
    ...(isClosed ? { isClosed } : {}),
  };
  if (outcome.kind === 'answered') {
    const { body, headers, signature, ...answer } = outcome.answer;
    const signed = signature === undefined ? {} : { signature };
    return {
      message: { ...shared, ...answer, ...signed, headers: headers as DispatchMessage['headers'] },
      body,
    };
  }
  if (outcome.kind === 'cancelled') return { message: shared, body: NOTHING };
  const isFull = outcome.kind === 'declined' ? { isFull: outcome.isFull } : {};
  return { message: { ...shared, ...isFull, reason: outcome.reason }, body: NOTHING };
}

const NOTHING = Buffer.alloc(0);

function toResult({ message, body }: Framed<DispatchOutcomeMessage>, via: string): DispatchResult {
  const { replica, hasEndedReplica: hasCrashedReplica, retryAfterMs, room: capacity } = message;
  return { outcome: toOutcome(message, body), replica, hasCrashedReplica, retryAfterMs, capacity, via };
}

function toOutcome(message: DispatchOutcomeMessage, body: Buffer): AttemptOutcome {
  const {
    kind,
    reason = '',
    isFull = true,
    status = 502,
    headers = {},
    signature,
    isFramed = true,
  } = message;
  if (kind === 'answered') return { kind, answer: { status, headers, signature, isFramed, body } };
  if (kind === 'declined') return { kind, reason, isFull };
  return kind === 'unknown' ? { kind, reason } : { kind };
}
