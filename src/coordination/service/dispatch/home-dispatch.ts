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
  type FleetMember,
  homeCount,
  type ReplicaDirectory,
  rankHomes,
} from '../../../state/service/replicas/index.js';
import type { DispatchCall, DispatchResult, ServiceRoom } from './dispatch-call.js';
import { ACKNOWLEDGE_MS, HomeHealth } from './home-health.js';
import type { AttemptOutcome } from './replica-exchange.js';
import type { ServiceQueues } from './service-queues.js';

/** A repeatable request whose home does not acknowledge it is sent elsewhere after this time, milliseconds. */
const UNACKNOWLEDGED_MS = 2.5 * ACKNOWLEDGE_MS;
/** Time that the home's answer may take beyond the request's own, milliseconds. */
const ANSWER_MARGIN_MS = 250;
/** What a home says of its room counts for this long where one of several homes is chosen, milliseconds. */
const ROOM_AGE_MS = 1_000;

/** What the dispatch works with. */
export interface HomeDispatchServices {
  readonly nodeName: string;
  readonly zone: string;
  readonly members: () => readonly FleetMember[];
  readonly directory: ReplicaDirectory;
  readonly queues: ServiceQueues;
  /** Whether the store serves this node. */
  readonly isStoreInReach: () => boolean;
  /** Gives a call to the node at an address. */
  readonly call: (
    address: string,
    framed: Framed<DispatchMessage>,
    options: PeerDispatchOptions,
  ) => Promise<PeerDispatch>;
  readonly metrics: Pick<ServiceMetrics, 'homeCalls'>;
  readonly logger: DecisionLogger;
}

/** The homes of one service, the first in line first. */
interface Line {
  readonly homes: readonly FleetMember[];
  /** First in line within this node's zone, beyond the homes. */
  readonly nearest: FleetMember | undefined;
}

/** What a home last said of its room. */
interface HeardRoom {
  readonly room: ServiceRoom;
  readonly atMs: number;
}

/** Sends the calls of one node. */
export class HomeDispatch {
  private readonly health: HomeHealth;
  private readonly lines = new Map<string, Line>();
  private readonly rooms = new Map<string, HeardRoom>();
  /** Names of the homes that were last reported, by service. */
  private readonly reported = new Map<string, string>();

  constructor(private readonly services: HomeDispatchServices) {
    this.health = new HomeHealth((name, reason) => this.report(name, `passed over: ${reason}`));
  }

  /** The fleet or the replicas have changed: the homes are found anew. */
  noteChange(): void {
    this.lines.clear();
    this.health.keepOnly(new Set(this.services.members().map(({ name }) => name)));
  }

  /** Sends a call. Never rejects. */
  async dispatch(call: DispatchCall, isRepeatable: boolean): Promise<DispatchResult> {
    if (call.request.body.length <= MAX_DISPATCHED_BODY_BYTES)
      for (const home of this.candidates(call.service)) {
        if (home.name === this.services.nodeName) break;
        const result = await this.dispatchAt(home, call, isRepeatable);
        if (result) return result;
      }
    this.services.metrics.homeCalls.inc({ outcome: 'here' });
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
    for (const home of this.candidates(call.service)) {
      if (home.name === this.services.nodeName) continue;
      const result = await this.dispatchAt(home, call, isRepeatable);
      if (result) return result;
    }
    return refused;
  }

  /** Whether this node deals out places of the service, as far as it knows. */
  isHome(service: string): boolean {
    const [first] = this.candidates(service);
    return first === undefined || first.name === this.services.nodeName;
  }

  /** Whether the places of a service are dealt out by homes. */
  hasHomes(service: string): boolean {
    return this.lineOf(service).homes.length > 0;
  }

  /** Nodes to ask, in this order; none where this node deals with the service itself. */
  private candidates(service: string): FleetMember[] {
    const { homes, nearest } = this.lineOf(service);
    const able = homes.filter(({ name }) => this.health.takesCalls(name));
    if (able.length > 0) return [this.emptiest(able), ...(nearest ? [nearest] : [])];
    return nearest && this.health.takesCalls(nearest.name) ? [nearest] : [];
  }

  private lineOf(service: string): Line {
    const known = this.lines.get(service);
    if (known) return known;
    const line = this.findLine(service);
    this.lines.set(service, line);
    this.reportHomes(service, line.homes.map(({ name }) => name).join(' '));
    return line;
  }

  private findLine(service: string): Line {
    const { directory, members, zone } = this.services;
    const replicas = directory.availableOf(service);
    const fleet = members();
    if (
      !needsHomes(
        fleet.length,
        replicas.map(({ replica }) => replica.slots),
      )
    )
      return { homes: [], nearest: undefined };
    const ranked = rankHomes(service, fleet);
    const homes = ranked.slice(0, homeCount(replicas.length));
    return { homes, nearest: ranked.find((member) => member.zone === zone && !homes.includes(member)) };
  }

  /** Of two homes drawn by chance the one with more room for those that wait, so that nodes do not all choose the same. */
  private emptiest(homes: readonly FleetMember[]): FleetMember {
    const one = homes[Math.floor(Math.random() * homes.length)] as FleetMember;
    const other = homes[Math.floor(Math.random() * homes.length)] as FleetMember;
    return this.load(other.name) < this.load(one.name) ? other : one;
  }

  private load(name: string): number {
    const heard = this.rooms.get(name);
    if (!heard || monotonicMs() - heard.atMs > ROOM_AGE_MS) return 0;
    const { free, slots, waiting } = heard.room;
    return (slots - free + waiting) / Math.max(1, slots);
  }

  /** The result of a call at a home; `undefined` when the home has certainly not taken it. */
  private async dispatchAt(
    home: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<DispatchResult | undefined> {
    const { metrics } = this.services;
    if (call.signal.aborted) return { outcome: { kind: 'cancelled' }, hasEndedReplica: false };
    call.onHandOver?.(true);
    const answer = await this.callHome(home, call, isRepeatable);
    metrics.homeCalls.inc({ outcome: answer.kind });
    if (answer.kind === 'not-taken') {
      call.onHandOver?.(false);
      this.health.pass(home.name, answer.reason);
      return undefined;
    }
    if (call.signal.aborted) return { outcome: { kind: 'cancelled' }, hasEndedReplica: false };
    if (answer.kind === 'lost') {
      this.health.pass(home.name, answer.reason);
      const reason = `${home.name}: ${answer.reason}`;
      return { outcome: { kind: 'unknown', reason }, hasEndedReplica: false, via: home.name };
    }
    const { message } = answer.outcome;
    if (message.room) this.rooms.set(home.name, { room: message.room, atMs: monotonicMs() });
    if (message.isClosed) this.health.pass(home.name, 'it is leaving');
    if (message.isClosed || (message.kind === 'declined' && this.knowsMore(call.service, message.room))) {
      call.onHandOver?.(false);
      return undefined;
    }
    return toResult(answer.outcome, home.name);
  }

  /** Whether a home knows no replicas where this node does: it has just started, or hears nothing. */
  private knowsMore(service: string, room: ServiceRoom | undefined): boolean {
    return room?.slots === 0 && this.services.directory.availableOf(service).length > 0;
  }

  private async callHome(
    home: FleetMember,
    call: DispatchCall,
    isRepeatable: boolean,
  ): Promise<PeerDispatch> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    call.signal.addEventListener('abort', abort, { once: true });
    const number = this.health.begin(home.name);
    const unacknowledged = isRepeatable ? setTimeout(abort, UNACKNOWLEDGED_MS) : undefined;
    const leftMs = call.endsAtMs - monotonicMs();
    try {
      return await this.services.call(home.peerAddress, toMessage(call, this.services.isStoreInReach()), {
        onTaken: () => {
          clearTimeout(unacknowledged);
          this.health.acknowledge(home.name, number, true);
        },
        timeoutMs: Math.max(1, leftMs + ANSWER_MARGIN_MS),
        signal: controller.signal,
      });
    } finally {
      clearTimeout(unacknowledged);
      this.health.acknowledge(home.name, number, false);
      call.signal.removeEventListener('abort', abort);
    }
  }

  private reportHomes(service: string, names: string): void {
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
export function needsHomes(nodeCount: number, slots: readonly number[]): boolean {
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
      rank: call.rank,
      party: call.party,
      isPatient: call.isPatient,
      isExtra: call.isExtra,
      isRetry: call.isRetry,
      aimMs: call.aimAtMs - nowMs,
      leftMs: Math.max(0, call.endsAtMs - nowMs),
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
    rank,
    party,
    isPatient,
    isExtra,
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
    rank,
    party,
    isPatient,
    isExtra,
    isRetry,
    aimAtMs: nowMs + aimMs,
    endsAtMs: nowMs + leftMs,
    excluded: new Set(excluded),
    configVersion,
    signal,
  };
}

/** What another node is told of a result. */
export function toOutcomeMessage(result: DispatchResult): Framed<DispatchOutcomeMessage> {
  const { outcome, replica, hasEndedReplica, retryAfterMs, room, isClosed } = result;
  const shared = {
    kind: outcome.kind,
    hasEndedReplica,
    ...(replica ? { replica } : {}),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(room ? { room } : {}),
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
  const { replica, hasEndedReplica, retryAfterMs, room } = message;
  return { outcome: toOutcome(message, body), replica, hasEndedReplica, retryAfterMs, room, via };
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
