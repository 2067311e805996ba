/**
 * Leases in the store. Each lease names the session of its holder, and a node renews all its leases by
 * writing one session row. Another node acquires a lease only after the holder's session row has not changed
 * for the lease time, measured on its own monotonic clock. Writes under a lease are conditional on its epoch
 * row and commands to engines carry the epoch as a fencing token, so a paused holder cannot overwrite its
 * successor.
 *
 * Rows: `session/{nodeId}` {session, beat}, `lease/{name}` {holder, session, epoch}, `lease-epoch/{name}`
 * {epoch}.
 */
import { err, ok } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import { StateError } from '../../state-error.js';
import type { Row, StateResult, Table } from '../tables/index.js';

interface SessionRow {
  readonly session: string;
  /** Heartbeat number; incremented by each renewal. */
  readonly beat: number;
}

interface LeaseRow {
  /** Node ID of the holder; empty after a release. */
  readonly holder: string;
  readonly session: string;
  readonly epoch: number;
}

export interface HeldLease {
  readonly name: string;
  /** Incremented by each change of holder. */
  readonly epoch: number;
  /** Condition that every transaction under the lease must include. */
  readonly condition: { readonly key: string; readonly version: number };
}

interface Observation {
  readonly version: number;
  readonly sinceMs: number;
}

const sessionKey = (nodeId: string) => `session/${nodeId}`;
const leaseKey = (name: string) => `lease/${name}`;
const epochKey = (name: string) => `lease-epoch/${name}`;

/** The leases of one node. */
export class LeaseStore {
  private readonly held = new Map<string, HeldLease>();
  private readonly observations = new Map<string, Observation>();
  private sessionVersion = 0;
  private heartbeat = 0;
  private renewedAtMs = Number.NEGATIVE_INFINITY;

  /** `leaseMs`: time without a heartbeat after which other nodes may acquire the leases of a holder. */
  constructor(
    private readonly table: Table,
    private readonly nodeId: string,
    private readonly session: string,
    readonly leaseMs: number,
  ) {}

  /** Whether the session cannot have expired yet. Only a shortcut: conditions and fences guarantee safety. */
  get isValid(): boolean {
    return monotonicMs() - this.renewedAtMs < this.leaseMs;
  }

  /**
   * The lease, unless it is known to be lost. It is also returned while the store is unreachable: no other
   * node can acquire it then, and the conditions of its writes reject a stale holder.
   */
  get(name: string): HeldLease | undefined {
    return this.held.get(name);
  }

  /** Renews the session. If it may have expired before, leases acquired by other nodes are dropped. */
  async renew(): StateResult<void> {
    const mayHaveExpired = !this.isValid;
    const renewed = await this.writeHeartbeat();
    if (renewed.isErr()) {
      if (renewed.error.failure === 'conflict') this.held.clear();
      return renewed;
    }
    return mayHaveExpired ? this.dropLostLeases() : renewed;
  }

  private async dropLostLeases(): StateResult<void> {
    const rows = await this.table.read([...this.held.keys()].map(leaseKey));
    if (rows.isErr()) return err(rows.error);
    const byKey = new Map(rows.value.map((row) => [row.key, row.value as LeaseRow]));
    for (const [name, lease] of this.held) {
      const row = byKey.get(leaseKey(name));
      if (row?.session !== this.session || row.epoch !== lease.epoch) this.held.delete(name);
    }
    return ok(undefined);
  }

  private async writeHeartbeat(): StateResult<void> {
    const startedAt = monotonicMs();
    const heartbeat = this.heartbeat + 1;
    const value: SessionRow = { session: this.session, beat: heartbeat };
    const written = await this.table.transact({
      conditions: [{ key: sessionKey(this.nodeId), version: this.sessionVersion }],
      writes: [{ key: sessionKey(this.nodeId), value }],
    });
    if (written.isOk() && written.value.committed) {
      this.recordRenewal(this.sessionVersion + 1, heartbeat, startedAt);
      return ok(undefined);
    }
    if (written.isErr() && written.error.effect === 'none') return err(written.error);
    return this.resolveRenewal(heartbeat, startedAt);
  }

  /** Reads the session row after a renewal whose response was lost or whose condition failed. */
  private async resolveRenewal(heartbeat: number, startedAt: number): StateResult<void> {
    const rows = await this.table.read([sessionKey(this.nodeId)]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0];
    const value = row?.value as SessionRow | undefined;
    this.sessionVersion = row?.version ?? 0;
    if (value?.session === this.session && value.beat === heartbeat) {
      this.recordRenewal(this.sessionVersion, heartbeat, startedAt);
      return ok(undefined);
    }
    return err(new StateError('conflict', 'none', 'session row was written by another process'));
  }

  private recordRenewal(version: number, heartbeat: number, startedAt: number): void {
    this.sessionVersion = version;
    this.heartbeat = heartbeat;
    this.renewedAtMs = startedAt;
  }

  /** Acquires a lease that is free or whose holder's session has expired; otherwise `undefined`. */
  async tryAcquire(name: string): StateResult<HeldLease | undefined> {
    const current = this.get(name);
    if (current) return ok(current);
    if (!this.isValid) return ok(undefined);
    const rows = await this.table.read([leaseKey(name), epochKey(name)]);
    if (rows.isErr()) return err(rows.error);
    const byKey = new Map(rows.value.map((row) => [row.key, row]));
    const lease = byKey.get(leaseKey(name));
    const epochRow = byKey.get(epochKey(name));
    const value = lease?.value as LeaseRow | undefined;
    if (value?.session === this.session) return ok(this.adopt(name, value.epoch, epochRow));
    const expired = await this.expiryConditions(value);
    if (expired.isErr()) return err(expired.error);
    if (expired.value === undefined) return ok(undefined);
    return this.acquire(name, lease, epochRow, expired.value);
  }

  /** Releases a lease, so that other nodes need not wait for its expiry. Errors are ignored. */
  async release(lease: HeldLease): Promise<void> {
    this.held.delete(lease.name);
    const rows = await this.table.read([leaseKey(lease.name)]);
    const row = rows.isOk() ? rows.value[0] : undefined;
    const stored = row?.value as LeaseRow | undefined;
    if (!row || stored?.session !== this.session || stored.epoch !== lease.epoch) return;
    const value: LeaseRow = { holder: '', session: '', epoch: lease.epoch };
    await this.table.transact({
      conditions: [{ key: row.key, version: row.version }],
      writes: [{ key: row.key, value }],
    });
  }

  /** Removes a lost lease from memory; the store is not changed. */
  drop(name: string): void {
    this.held.delete(name);
  }

  /** Transaction conditions for replacing the holder; `undefined` while its session may be alive. */
  private async expiryConditions(
    value: LeaseRow | undefined,
  ): StateResult<{ key: string; version: number }[] | undefined> {
    if (!value || value.holder === '') return ok([]);
    const rows = await this.table.read([sessionKey(value.holder)]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0];
    const version = row?.version ?? 0;
    const condition = [{ key: sessionKey(value.holder), version }];
    // The holder restarted with a new session, so the old one can no longer be renewed.
    if ((row?.value as SessionRow | undefined)?.session !== value.session) return ok(condition);
    const observation = this.observations.get(value.holder);
    if (observation?.version !== version) {
      this.observations.set(value.holder, { version, sinceMs: monotonicMs() });
      return ok(undefined);
    }
    return ok(monotonicMs() - observation.sinceMs > this.leaseMs ? condition : undefined);
  }

  private async acquire(
    name: string,
    lease: Row | undefined,
    epochRow: Row | undefined,
    expiryConditions: readonly { key: string; version: number }[],
  ): StateResult<HeldLease | undefined> {
    const epoch = ((epochRow?.value as { epoch: number } | undefined)?.epoch ?? 0) + 1;
    const value: LeaseRow = { holder: this.nodeId, session: this.session, epoch };
    const outcome = await this.table.transact({
      conditions: [
        { key: leaseKey(name), version: lease?.version ?? 0 },
        { key: epochKey(name), version: epochRow?.version ?? 0 },
        ...expiryConditions,
      ],
      writes: [
        { key: leaseKey(name), value },
        { key: epochKey(name), value: { epoch } },
      ],
    });
    // If the response was lost, the next attempt finds the lease held by this session.
    if (outcome.isErr()) return err(outcome.error);
    if (!outcome.value.committed) return ok(undefined);
    return ok(this.hold(name, epoch, (epochRow?.version ?? 0) + 1));
  }

  /** Adopts a lease already held by this session. Its rows are read separately, so the epochs may differ. */
  private adopt(name: string, epoch: number, epochRow: Row | undefined): HeldLease | undefined {
    const epochValue = epochRow?.value as { epoch: number } | undefined;
    return epochRow && epochValue?.epoch === epoch ? this.hold(name, epoch, epochRow.version) : undefined;
  }

  private hold(name: string, epoch: number, version: number): HeldLease {
    const lease = { name, epoch, condition: { key: epochKey(name), version } };
    this.held.set(name, lease);
    return lease;
  }
}
