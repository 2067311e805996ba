/**
 * Addresses of a few peers, and the number of running nodes. Each node announces its addresses in the store
 * and reads those of the next nodes by name, so that the cost per node does not grow with the fleet. All
 * nodes are counted less often. While the store does not answer, the last addresses and count remain.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import { ignoreUnreadable, type ReportUnreadable } from '../../../state/service/store/index.js';
import { readPartition } from '../../feeds/index.js';
import { FleetTime } from './fleet-time.js';
import { isExpired, NODE_TABLE, type NodeAnnouncement, readAnnouncement } from './node-announcement.js';

const TABLE = NODE_TABLE;
/** Counting reads the whole table, so it is done less often than reading a few peers. */
const READS_PER_NODE_COUNT = 12;
/** Enough that one of them reaches the store when a zone is cut off. */
const MAX_PEERS = 8;
/** At most a third of the expiry of an announcement. */
const ANNOUNCE_INTERVAL_MS = 60_000;
const CLOCK_CHECK_INTERVAL_MS = 1_500;
/** An announcement whose time is off by more is replaced at the next check. */
const CLOCK_TOLERANCE_MS = 10;
const READ_INTERVAL_MS = 10_000;
/** For the first reads, while other nodes are still starting. */
const STARTUP_READ_INTERVAL_MS = 1_500;
/** Width of the random spread, as a fraction of the read interval. */
const READ_JITTER = 0.2;
/** Rank of a peer without forwarded calls: between success of the last one (1) and failure (0). */
const UNTRIED_RANK = 0.5;

/** Announced properties of a node besides its addresses. */
export type NodeTraits = Pick<NodeAnnouncement, 'zone' | 'capacity'>;

interface ReadAnnouncement {
  readonly record: StoredRecord;
  readonly announcement: NodeAnnouncement;
}

export class PeerAddresses {
  private peers: readonly NodeAnnouncement[] = [];
  private nodeCount = 1;
  /** Whether the last call forwarded to a peer succeeded, by address. */
  private readonly lastCallSucceeded = new Map<string, boolean>();
  private isWithdrawn = false;
  /** Whether this node replaced an announcement whose time was off since it last counted the nodes. */
  private hasCorrectedTime = false;

  constructor(
    private readonly store: RecordStore,
    private readonly nodeName: string,
    private readonly logger: DecisionLogger,
    private readonly clock: Clock = SYSTEM_CLOCK,
    private readonly traits: NodeTraits = {},
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
    readonly time = new FleetTime(store),
  ) {}

  /** Up to `count` addresses for callers (`IP:PORT`), ranked by the outcome of the last forwarded call. */
  rankedAddresses(count: number): string[] {
    return this.rankedPeers()
      .slice(0, count)
      .map(({ address }) => address);
  }

  /** Like `rankedAddresses`, but with addresses for peers. */
  rankedPeerAddresses(count: number): string[] {
    return this.rankedPeers()
      .flatMap(({ peerAddress }) => peerAddress ?? [])
      .slice(0, count);
  }

  /** Number of running nodes as last counted; 1 before the first count. */
  get fleetSize(): number {
    return this.nodeCount;
  }

  /** Records whether a call forwarded to a peer succeeded. */
  recordOutcome(address: string, succeeded: boolean): void {
    this.lastCallSucceeded.set(address, succeeded);
  }

  /** Removes this node's announcement when it drains. If that fails, the announcement expires later. */
  async withdraw(): Promise<void> {
    this.isWithdrawn = true;
    await this.store.transact({ conditions: [], writes: [], removals: [recordAddress(this.nodeName)] });
  }

  /** Announces this node's addresses (`IP:PORT`) and reads those of others until `signal` is aborted. */
  async run(address: string, signal: AbortSignal, peerAddress?: string): Promise<void> {
    await this.waitForStore(signal);
    await Promise.all([this.announceLoop(address, peerAddress, signal), this.refreshLoop(signal)]);
  }

  /** Until the first answer the store's clock is unknown and the announcement would carry a wrong time. */
  private async waitForStore(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && (await this.scan(undefined)) === undefined)
      await this.clock.sleep(STARTUP_READ_INTERVAL_MS, signal);
  }

  private async announceLoop(
    address: string,
    peerAddress: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !this.isWithdrawn) {
      const { storeOffsetMs } = this;
      const isAnnounced = await this.announce(address, peerAddress);
      if (isAnnounced) await this.waitUntilOutdated(storeOffsetMs, signal);
      else await this.clock.sleep(STARTUP_READ_INTERVAL_MS, signal);
    }
  }

  /**
   * Waits until an announcement is due again. It is due early once a prompter answer of the store shows that
   * the offset which it was made with was estimated from late ones.
   */
  private async waitUntilOutdated(announcedOffsetMs: number, signal: AbortSignal): Promise<void> {
    const dueMs = this.clock.now() + ANNOUNCE_INTERVAL_MS;
    while (!signal.aborted && this.clock.now() < dueMs) {
      await this.clock.sleep(CLOCK_CHECK_INTERVAL_MS, signal);
      if (this.storeOffsetMs <= announcedOffsetMs + CLOCK_TOLERANCE_MS) continue;
      this.hasCorrectedTime = true;
      return;
    }
  }

  /** Offset of the store's clock from the monotonic one. Late answers make it too small. */
  private get storeOffsetMs(): number {
    return this.store.nowMs() - this.clock.now();
  }

  private async announce(address: string, peerAddress: string | undefined): Promise<boolean> {
    const announcement: NodeAnnouncement = {
      address,
      peerAddress,
      ...this.traits,
      timeOffsetMs: Math.round(this.time.localOffsetMs),
      announcedAtMs: Math.round(this.store.nowMs()),
    };
    const value = Buffer.from(JSON.stringify(announcement), 'utf8');
    const write = { ...recordAddress(this.nodeName), value };
    return (await this.store.transact({ conditions: [], writes: [write], removals: [] })).isOk();
  }

  private async refreshLoop(signal: AbortSignal): Promise<void> {
    for (let reads = 0; !signal.aborted; reads += 1) {
      const intervalMs = reads < 2 ? STARTUP_READ_INTERVAL_MS : READ_INTERVAL_MS;
      await this.clock.sleep(intervalMs * (1 + READ_JITTER * (this.clock.random() - 0.5)), signal);
      if (!signal.aborted) await this.refreshPeers();
      const isCountDue = reads % READS_PER_NODE_COUNT === 1 || (reads > 1 && this.hasCorrectedTime);
      if (!signal.aborted && isCountDue) await this.countNodes();
    }
  }

  /** Also reads the nodes' offsets; early if this node's was off, since those of the others were then, too. */
  private async countNodes(): Promise<void> {
    this.hasCorrectedTime = false;
    const all = await readPartition(this.store, TABLE, '');
    if (all.isErr()) return;
    const { content, version } = all.value;
    const present = this.read(content).filter(({ announcement }) => !this.isExpired(announcement));
    this.nodeCount = Math.max(1, present.length);
    this.time.setNodeOffsets(present.flatMap(({ announcement }) => announcement.timeOffsetMs ?? []));
    this.report(`${this.nodeCount} nodes`, version);
  }

  private async refreshPeers(): Promise<void> {
    const following = await this.scan(`${this.nodeName}\0`);
    if (!following) return;
    const wrapsAround = following.length < MAX_PEERS;
    // If the second scan fails, the peers found by the first are enough until the next read.
    const records = wrapsAround ? [...following, ...((await this.scan(undefined)) ?? [])] : following;
    const others = records.filter(({ key }) => key !== this.nodeName);
    const candidates = this.read(others).slice(0, MAX_PEERS);
    const isOld = ({ announcement }: ReadAnnouncement) => this.isExpired(announcement);
    const expired = candidates.filter(isOld).map(({ record }) => record);
    const present = candidates.filter((candidate) => !isOld(candidate));
    const byAddress = new Map(present.map(({ announcement }) => [announcement.address, announcement]));
    this.replacePeers([...byAddress.values()], records);
    for (const address of this.lastCallSucceeded.keys())
      if (!byAddress.has(address)) this.lastCallSucceeded.delete(address);
    if (expired.length > 0) await this.removeExpired(expired);
  }

  private rankedPeers(): NodeAnnouncement[] {
    const rank = ({ address }: NodeAnnouncement) =>
      Number(this.lastCallSucceeded.get(address) ?? UNTRIED_RANK);
    return [...this.peers].sort((left, right) => rank(right) - rank(left));
  }

  private replacePeers(announcements: readonly NodeAnnouncement[], records: readonly StoredRecord[]): void {
    const addressesOf = (all: readonly NodeAnnouncement[]) => all.map(({ address }) => address).join();
    const hasChanged = addressesOf(announcements) !== addressesOf(this.peers);
    this.peers = announcements;
    if (!hasChanged) return;
    const version = Math.max(0, ...records.map((record) => record.version));
    this.report(`${announcements.length} known`, version);
  }

  private report(change: string, version: number): void {
    this.logger.record({ event: 'belief-changed', subject: 'peers', name: TABLE, change, version });
  }

  private async scan(from: string | undefined): Promise<readonly StoredRecord[] | undefined> {
    const page = await this.store.scan({ table: TABLE, partition: '', from, limit: MAX_PEERS + 1 });
    return page.isOk() ? page.value.records : undefined;
  }

  /** The announcements in records; unreadable records are left out. */
  private read(records: readonly StoredRecord[]): ReadAnnouncement[] {
    return records.flatMap((record) => {
      const announcement = readAnnouncement(record, this.reportUnreadable);
      return announcement ? [{ record, announcement }] : [];
    });
  }

  private isExpired(announcement: NodeAnnouncement): boolean {
    return isExpired(announcement, this.store.nowMs());
  }

  /** Removes announcements of crashed nodes, unless they were renewed since the read. */
  private async removeExpired(records: readonly StoredRecord[]): Promise<void> {
    const conditions = records.map(({ key, version }) => ({ ...recordAddress(key), version }));
    const removals = records.map(({ key }) => recordAddress(key));
    await this.store.transact({ conditions, writes: [], removals });
  }
}

function recordAddress(nodeName: string): RecordAddress {
  return { table: TABLE, partition: '', key: nodeName };
}
