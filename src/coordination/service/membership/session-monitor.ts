/**
 * Which processes are alive, as far as anyone needs to know: a process that holds jobs or duties writes a beat to the
 * store, and every node looks at all beats now and then. A holder counts as lost when its beat stood still for
 * `EXPIRY_MS` of time in which this node could read the store without a gap; an outage of the store costs nobody a job.
 *
 * Holders look often, and so do all nodes of a small fleet. In a large one the others look the more seldom the more
 * nodes there are, so that all together look as often as a few would; one that finds an old beat looks often until it
 * knows whether the holder is lost.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';

/** Table of the beats, and of whatever else every node looks at together with them. */
export const SESSION_TABLE = 'sessions';
const BEAT_PREFIX = 'beat/';
/** Beats are written by the few holders and read by all, so they come more often than the looks. */
const BEAT_MS = 250;
const POLL_MS = 500;
/** Nodes that look often in a fleet of any size: in a larger one each looks more seldom in proportion. */
const WATCHERS = 16;
/** Part of `POLL_MS` by which looks come sooner or later, so that those of different nodes spread. */
const POLL_SPREAD = 0.05;
/** Beats without an answer after which the next one waits: lost answers must not delay it. */
const MAX_OPEN_BEATS = 4;
/**
 * Observed time after which a silent holder counts as lost, milliseconds, and answers of a slow store on top. It lies
 * between one look and two, at any distance that looks have: one look without a new beat never counts, the second does.
 */
const EXPIRY_MS = 900;
const EXPIRY_ANSWERS = 4;
/** Time between two reads above which nothing in between counts as observed, milliseconds. */
const GAP_MS = 1_100;
/** A beat of at most this age on the store's clock shows a process at work, milliseconds, and answers on top. */
const FRESH_MS = 2 * BEAT_MS + POLL_MS;
const FRESH_ANSWERS = 2;
/** A beat of more than this age on the store's clock is looked at often, milliseconds. */
const SUSPECT_MS = 2.5 * BEAT_MS;
/** Longest wait for a look that someone needs now, milliseconds. */
const REFRESH_MS = 200;

/** What a beat says. */
interface Heartbeat {
  readonly life: string;
  readonly count: number;
  /** Whether the process takes no new jobs, because it is on its way out. */
  readonly isLeaving: boolean;
  /** When it was written, on the store's clock, milliseconds; nodes of version 0.1.0 do not say it. */
  readonly atMs?: number;
}

interface ObservedSession {
  version: number;
  life: string;
  isLeaving: boolean;
  /** When the newest beat was written, on the store's clock, milliseconds. */
  heartbeatAtMs: number;
  /** Observed time at which the beat last changed, milliseconds. */
  changedAtMs: number;
}

/** What this process holds, and what it must know of others. */
export interface SessionRoles {
  /** Whether this process holds anything, so that it must beat. */
  readonly isHolder: () => boolean;
  /** Whether anything is held by others, so that their beats matter. */
  readonly mustWatch: () => boolean;
  /** Processes whose loss would be acted upon. */
  readonly holders: () => readonly OwnerReference[];
  /** Nodes that are at work, roughly. */
  readonly fleetSize: () => number;
}

/** Beats of this process and observation of all others. */
export class SessionMonitor {
  private readonly sessions = new Map<string, ObservedSession>();
  private observedMs = 0;
  /** Observed time of the last gap: after it every holder gets the whole time again. */
  private restartedAtMs = 0;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private heartbeats = 0;
  /** Beats that the store has not answered yet. */
  private openHeartbeats = 0;
  private isLeaving = false;
  private readonly holding = new ConditionVariable();
  private readonly listeners = new Set<(records: readonly StoredRecord[]) => void>();

  constructor(
    private readonly store: RecordStore,
    readonly self: OwnerReference,
    private readonly roles: SessionRoles,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Called after each look, with all records of the table. */
  onPoll(listener: (records: readonly StoredRecord[]) => void): void {
    this.listeners.add(listener);
  }

  /** This process has begun to hold something: it beats and looks often from now on. */
  noteHolding(): void {
    this.holding.notifyAll();
  }

  /** Observed time now, milliseconds: it stands still while the store cannot be read. */
  get observedTimeMs(): number {
    return this.observedMs;
  }

  /**
   * Whether the holder has been silent for too long. `heldSinceMs` is the observed time at which this node learnt of the
   * holding: a process that held nothing before had no reason to beat.
   */
  isLost(holder: OwnerReference, heldSinceMs: number): boolean {
    const session = this.sessions.get(holder.node);
    const changedAtMs = session?.life === holder.life ? session.changedAtMs : 0;
    const expiryMs = EXPIRY_MS + this.store.usualAnswerMs() * EXPIRY_ANSWERS;
    return this.observedMs - Math.max(changedAtMs, heldSinceMs, this.restartedAtMs) > expiryMs;
  }

  /** Resolves after `ms` milliseconds, at once while this process holds something, or when it begins to. */
  async pauseUnlessHolder(ms: number, signal: AbortSignal): Promise<void> {
    if (!this.roles.isHolder()) await this.holding.waitAtMost(ms, signal, this.clock);
  }

  /** Looks now if the last look is not recent. Resolves soon, also when the store does not answer. */
  async refresh(): Promise<void> {
    if (this.clock.now() - this.lastReadMs <= POLL_MS * (1 + POLL_SPREAD)) return;
    const controller = new AbortController();
    await Promise.race([this.poll(), this.clock.sleep(REFRESH_MS, controller.signal)]);
    controller.abort();
  }

  /** Whether a process of this life beat a moment ago and takes jobs, as far as this node has seen. */
  isFresh(owner: OwnerReference): boolean {
    const session = this.sessions.get(owner.node);
    if (session?.life !== owner.life || session.isLeaving) return false;
    const freshMs = FRESH_MS + this.store.usualAnswerMs() * FRESH_ANSWERS;
    return this.heartbeatAgeMs(session) <= freshMs && this.clock.now() - this.lastReadMs <= GAP_MS;
  }

  /** Tells all nodes that this process takes no new jobs. */
  async announceLeaving(): Promise<void> {
    this.isLeaving = true;
    if (this.roles.isHolder()) await this.heartbeat();
  }

  /** Beats and watches until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.heartbeatLoop(signal), this.watchRegularly(signal)]);
  }

  private async heartbeatLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.roles.isHolder()) {
        await this.holding.wait(signal);
        continue;
      }
      if (this.openHeartbeats < MAX_OPEN_BEATS) void this.heartbeat();
      await this.clock.sleep(BEAT_MS, signal);
    }
  }

  private async heartbeat(): Promise<void> {
    this.openHeartbeats += 1;
    await this.writeHeartbeat();
    this.openHeartbeats -= 1;
  }

  private async writeHeartbeat(): Promise<void> {
    this.heartbeats += 1;
    const atMs = Math.round(this.store.nowMs());
    const content: Heartbeat = {
      life: this.self.life,
      count: this.heartbeats,
      isLeaving: this.isLeaving,
      atMs,
    };
    const value = Buffer.from(JSON.stringify(content), 'utf8');
    const write = { table: SESSION_TABLE, partition: '', key: BEAT_PREFIX + this.self.node, value };
    await this.store.transact({ conditions: [], writes: [write], removals: [] });
  }

  private async watchRegularly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.roles.mustWatch()) await this.poll();
      const spread = POLL_SPREAD * (2 * this.clock.random() - 1);
      await this.pause(POLL_MS * (1 + spread), signal);
    }
  }

  /** `pollMs` while looks must come often, else longer, until this process begins to hold something. */
  private async pause(pollMs: number, signal: AbortSignal): Promise<void> {
    const factor = Math.max(1, this.roles.fleetSize() / WATCHERS);
    if (factor === 1 || this.roles.isHolder() || this.hasSuspects()) await this.clock.sleep(pollMs, signal);
    else await this.holding.waitAtMost(pollMs * factor, signal, this.clock);
  }

  /** Whether a holder's newest beat is old. */
  private hasSuspects(): boolean {
    const suspectMs = SUSPECT_MS + this.store.usualAnswerMs() * FRESH_ANSWERS;
    return this.roles.holders().some(({ node, life }) => {
      const session = this.sessions.get(node);
      return node !== this.self.node && (session?.life !== life || this.heartbeatAgeMs(session) > suspectMs);
    });
  }

  private heartbeatAgeMs({ heartbeatAtMs }: ObservedSession): number {
    return this.store.nowMs() - heartbeatAtMs;
  }

  private async poll(): Promise<void> {
    const page = await this.store.scan({ table: SESSION_TABLE, partition: '' });
    if (page.isErr()) return;
    this.advance();
    for (const record of page.value.records) if (record.key.startsWith(BEAT_PREFIX)) this.observe(record);
    for (const listener of this.listeners) listener(page.value.records);
  }

  private advance(): void {
    const now = this.clock.now();
    const elapsed = now - this.lastReadMs;
    if (elapsed > GAP_MS) this.restartedAtMs = this.observedMs;
    else this.observedMs += elapsed;
    this.lastReadMs = now;
  }

  private observe(record: StoredRecord): void {
    const { version, value } = record;
    const node = record.key.slice(BEAT_PREFIX.length);
    const known = this.sessions.get(node);
    if (known && known.version >= version) return;
    const { life, isLeaving, atMs = 0 } = JSON.parse(value.toString('utf8')) as Heartbeat;
    this.sessions.set(node, { version, life, isLeaving, heartbeatAtMs: atMs, changedAtMs: this.observedMs });
  }
}
