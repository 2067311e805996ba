/**
 * Failure detector for holders of jobs and leases: a holder writes heartbeats to the store, and every node
 * polls all heartbeats. A holder is lost when its heartbeat has not changed for `lossTimeoutMs` of observed
 * time. Observed time stops while this node cannot read the store, so that no holder is lost by an outage or a
 * pause of this process. In a large fleet idle nodes poll less often until a heartbeat is overdue. A record
 * that is no heartbeat shows none.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { ignoreUnreadable, type ReportUnreadable } from '../../../state/service/store/index.js';
import { type Heartbeat, heartbeatFormat } from './heartbeat-record.js';
import {
  HEARTBEAT_INTERVAL_MS,
  idlePollFactor,
  isObserved,
  lossTimeoutMs,
  MAX_PENDING_HEARTBEATS,
  maxFreshAgeMs,
  minSuspectAgeMs,
  pollIntervalMs,
  RECENT_POLL_MS,
} from './session-rules.js';

/** Table of the heartbeats and of other records that every node polls together with them. */
export const SESSION_TABLE = 'sessions';
/** Prefix of the stored keys of heartbeats. */
const HEARTBEAT_PREFIX = 'beat/';
/** Bounds the delay of requests that wait for a refresh. */
const REFRESH_TIMEOUT_MS = 200;

interface ObservedSession {
  version: number;
  life: string;
  isLeaving: boolean;
  /** Time of the newest heartbeat on the store's clock, milliseconds. */
  heartbeatAtMs: number;
  /** Observed time at which the heartbeat last changed, milliseconds. */
  changedAtMs: number;
}

/** What this process holds, and what it needs to know about other holders. */
export interface SessionRoles {
  /** Whether this process holds a job or a lease and therefore must send heartbeats. */
  readonly isHolder: () => boolean;
  /** Whether other processes may hold something that this one could take over. */
  readonly mustWatch: () => boolean;
  /** Last known holders, whose loss this process would act on. */
  readonly holders: () => readonly OwnerReference[];
  /** Approximate number of running nodes. */
  readonly fleetSize: () => number;
}

export class SessionMonitor {
  private readonly sessions = new Map<string, ObservedSession>();
  private observedMs = 0;
  /** Observed time of the last gap in the reads, at which the loss timeout restarts for all holders. */
  private lastGapAtMs = 0;
  /** Monotonic clock. */
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private heartbeatCount = 0;
  /** Number of heartbeats without an answer from the store. */
  private pendingHeartbeats = 0;
  private isLeaving = false;
  private readonly holdingStarted = new ConditionVariable();
  private readonly listeners = new Set<(records: readonly StoredRecord[]) => void>();

  constructor(
    private readonly store: RecordStore,
    readonly self: OwnerReference,
    private readonly roles: SessionRoles,
    private readonly clock: Clock = SYSTEM_CLOCK,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {}

  /** Registers a listener that is called after each poll with all records of the table. */
  onPoll(listener: (records: readonly StoredRecord[]) => void): void {
    this.listeners.add(listener);
  }

  /** Must be called when this process starts to hold something: starts heartbeats and frequent polls. */
  notifyHolding(): void {
    this.holdingStarted.notifyAll();
  }

  /** Observed time, milliseconds; stops while the store cannot be read. */
  get observedTimeMs(): number {
    return this.observedMs;
  }

  /**
   * Whether a holder is lost. `heldSinceMs` is the observed time at which this node first saw it as the
   * holder, since processes that hold nothing send no heartbeats.
   */
  isLost(holder: OwnerReference, heldSinceMs: number): boolean {
    const session = this.sessions.get(holder.node);
    const changedAtMs = session?.life === holder.life ? session.changedAtMs : 0;
    const silentMs = this.observedMs - Math.max(changedAtMs, heldSinceMs, this.lastGapAtMs);
    return silentMs > lossTimeoutMs(this.store.averageLatencyMs());
  }

  /** Waits for `ms` milliseconds, but only until this process holds something. */
  async pauseUnlessHolder(ms: number, signal: AbortSignal): Promise<void> {
    if (!this.roles.isHolder()) await this.holdingStarted.waitWithTimeout(ms, signal, this.clock);
  }

  /** Polls now unless the last poll is recent. Resolves within `REFRESH_TIMEOUT_MS` in any case. */
  async refresh(): Promise<void> {
    if (this.clock.now() - this.lastReadMs <= RECENT_POLL_MS) return;
    const controller = new AbortController();
    await Promise.race([this.poll(), this.clock.sleep(REFRESH_TIMEOUT_MS, controller.signal)]);
    controller.abort();
  }

  /** Whether a recent heartbeat shows that this incarnation is running and accepts jobs. */
  isFresh(owner: OwnerReference): boolean {
    const session = this.sessions.get(owner.node);
    if (session?.life !== owner.life || session.isLeaving) return false;
    const isRecent = this.heartbeatAgeMs(session) <= maxFreshAgeMs(this.store.averageLatencyMs());
    return isRecent && isObserved(this.clock.now() - this.lastReadMs);
  }

  /** Announces to all nodes that this process accepts no new jobs. */
  async announceDraining(): Promise<void> {
    this.isLeaving = true;
    if (this.roles.isHolder()) await this.sendHeartbeat();
  }

  /** Sends heartbeats and polls those of others until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.heartbeatLoop(signal), this.pollLoop(signal)]);
  }

  private async heartbeatLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.roles.isHolder()) {
        await this.holdingStarted.wait(signal);
        continue;
      }
      if (this.pendingHeartbeats < MAX_PENDING_HEARTBEATS) void this.sendHeartbeat();
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private async sendHeartbeat(): Promise<void> {
    this.pendingHeartbeats += 1;
    await this.writeHeartbeat();
    this.pendingHeartbeats -= 1;
  }

  private async writeHeartbeat(): Promise<void> {
    this.heartbeatCount += 1;
    const atMs = Math.round(this.store.nowMs());
    const content: Heartbeat = {
      life: this.self.life,
      count: this.heartbeatCount,
      isLeaving: this.isLeaving,
      atMs,
    };
    const value = Buffer.from(JSON.stringify(content), 'utf8');
    const write = { table: SESSION_TABLE, partition: '', key: HEARTBEAT_PREFIX + this.self.node, value };
    await this.store.transact({ conditions: [], writes: [write], removals: [] });
  }

  private async pollLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.roles.mustWatch()) await this.poll();
      await this.waitForNextPoll(pollIntervalMs(this.clock.random()), signal);
    }
  }

  /** Waits for `pollMs`, or longer while this process is idle in a large fleet. */
  private async waitForNextPoll(pollMs: number, signal: AbortSignal): Promise<void> {
    const factor = idlePollFactor(this.roles.fleetSize());
    if (factor === 1 || this.roles.isHolder() || this.hasSuspects()) await this.clock.sleep(pollMs, signal);
    else await this.holdingStarted.waitWithTimeout(pollMs * factor, signal, this.clock);
  }

  /** Whether the newest heartbeat of another holder is overdue. */
  private hasSuspects(): boolean {
    const suspectMs = minSuspectAgeMs(this.store.averageLatencyMs());
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
    this.advanceObservedTime();
    for (const record of page.value.records)
      if (record.key.startsWith(HEARTBEAT_PREFIX)) this.observe(record);
    for (const listener of this.listeners) listener(page.value.records);
  }

  private advanceObservedTime(): void {
    const now = this.clock.now();
    const elapsed = now - this.lastReadMs;
    if (isObserved(elapsed)) this.observedMs += elapsed;
    else this.lastGapAtMs = this.observedMs;
    this.lastReadMs = now;
  }

  private observe(record: StoredRecord): void {
    const { version, value } = record;
    const node = record.key.slice(HEARTBEAT_PREFIX.length);
    const previous = this.sessions.get(node);
    if (previous && previous.version >= version) return;
    const heartbeat = heartbeatFormat.parse(value);
    if (heartbeat.isErr()) {
      this.reportUnreadable(record, heartbeat.error);
      return;
    }
    const { life, isLeaving = false, atMs = 0 } = heartbeat.value;
    this.sessions.set(node, { version, life, isLeaving, heartbeatAtMs: atMs, changedAtMs: this.observedMs });
  }
}
