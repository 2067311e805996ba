/**
 * Where other nodes serve callers. Each node announces its address in the store and remembers those of a few nodes that
 * follow it in the order of their names, so that the cost for each node stays the same however many there are. Now and
 * then it counts all nodes.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import { readPartition } from '../../feeds/index.js';
import { FleetTime } from './fleet-time.js';
import { type Announcement, isExpired, parseAnnouncement, SERVING_NODES } from './node-announcement.js';

const TABLE = SERVING_NODES;
/** Looks after which all announcements are counted again; first with the second look. */
const COUNT_LOOKS = 12;
/** Other nodes that are remembered. */
const REMEMBERED = 8;
/** How often a node announces itself, milliseconds. */
const ANNOUNCE_MS = 60_000;
/** Time between two looks, milliseconds; the first ones come sooner, while all nodes start. */
const LOOK_MS = 10_000;
const FIRST_LOOK_MS = 1_500;
const LOOK_SPREAD = 0.2;

/** What a node says of itself besides its addresses. */
export type NodeTraits = Pick<Announcement, 'zone' | 'capacity'>;

/** The addresses that one node knows. */
export class PeerAddresses {
  /** Time of day as the fleet sees it. */
  readonly time: FleetTime;
  private known: readonly Announcement[] = [];
  private count = 1;
  /** Nodes that carried out the last call that was passed on to them, or failed to. */
  private readonly hasServed = new Map<string, boolean>();
  private isWithdrawn = false;

  constructor(
    private readonly store: RecordStore,
    private readonly nodeName: string,
    private readonly logger: DecisionLogger,
    private readonly clock: Clock = SYSTEM_CLOCK,
    private readonly traits: NodeTraits = {},
  ) {
    this.time = new FleetTime(store);
  }

  /** Up to `count` addresses (`IP:PORT`): nodes that served last time, then untried ones, then the others. */
  likeliest(count: number): string[] {
    return this.ranked()
      .slice(0, count)
      .map(({ address }) => address);
  }

  /** Like `likeliest`, but the addresses at which nodes answer each other. */
  likeliestPeers(count: number): string[] {
    return this.ranked()
      .flatMap(({ peerAddress }) => peerAddress ?? [])
      .slice(0, count);
  }

  /** Nodes that are at work, as counted last: 1 before that. */
  get fleetSize(): number {
    return this.count;
  }

  /** Takes note of whether a node carried out a call that was passed on to it. */
  note(address: string, hasServed: boolean): void {
    this.hasServed.set(address, hasServed);
  }

  /** Takes this node's announcement away: it is leaving. */
  async withdraw(): Promise<void> {
    this.isWithdrawn = true;
    await this.store.transact({ conditions: [], writes: [], removals: [recordAddress(this.nodeName)] });
  }

  /** Announces this node, which serves callers and other nodes at these addresses (`IP:PORT`), and looks for others. */
  async run(address: string, signal: AbortSignal, peerAddress?: string): Promise<void> {
    await this.untilAnswered(signal);
    await Promise.all([this.announceRegularly(address, peerAddress, signal), this.refreshLoop(signal)]);
  }

  /** Until the store has answered once its clock is not known, and an announcement would bear a wrong time. */
  private async untilAnswered(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && (await this.scan(undefined)) === undefined)
      await this.clock.sleep(FIRST_LOOK_MS, signal);
  }

  private async announceRegularly(
    address: string,
    peerAddress: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    let isAnnounced = false;
    while (!signal.aborted && !this.isWithdrawn) {
      isAnnounced = await this.announce(address, peerAddress);
      await this.clock.sleep(isAnnounced ? ANNOUNCE_MS : FIRST_LOOK_MS, signal);
    }
  }

  private async announce(address: string, peerAddress: string | undefined): Promise<boolean> {
    const announcement: Announcement = {
      address,
      peerAddress,
      ...this.traits,
      timeOffsetMs: Math.round(this.time.ownOffsetMs),
      announcedAtMs: Math.round(this.store.nowMs()),
    };
    const value = Buffer.from(JSON.stringify(announcement), 'utf8');
    const write = { ...recordAddress(this.nodeName), value };
    return (await this.store.transact({ conditions: [], writes: [write], removals: [] })).isOk();
  }

  private async refreshLoop(signal: AbortSignal): Promise<void> {
    for (let looks = 0; !signal.aborted; looks += 1) {
      const distanceMs = looks < 2 ? FIRST_LOOK_MS : LOOK_MS;
      await this.clock.sleep(distanceMs * (1 + LOOK_SPREAD * (this.clock.random() - 0.5)), signal);
      if (!signal.aborted) await this.refresh();
      if (!signal.aborted && looks % COUNT_LOOKS === 1) await this.countAll();
    }
  }

  private async countAll(): Promise<void> {
    const all = await readPartition(this.store, TABLE, '');
    if (all.isErr()) return;
    const { content, version } = all.value;
    const present = content.filter((record) => !this.isExpired(record));
    this.count = Math.max(1, present.length);
    this.time.agree(present.flatMap((record) => parse(record).timeOffsetMs ?? []));
    this.report(`${this.count} nodes`, version);
  }

  private async refresh(): Promise<void> {
    const following = await this.scan(`${this.nodeName}\0`);
    if (!following) return;
    const isShort = following.length < REMEMBERED;
    const records = isShort ? [...following, ...((await this.scan(undefined)) ?? [])] : following;
    const others = records.filter(({ key }) => key !== this.nodeName).slice(0, REMEMBERED);
    const expired = others.filter((record) => this.isExpired(record));
    const present = others.filter((record) => !this.isExpired(record)).map(parse);
    const byAddress = new Map(present.map((announcement) => [announcement.address, announcement]));
    this.remember([...byAddress.values()], records);
    for (const address of this.hasServed.keys()) if (!byAddress.has(address)) this.hasServed.delete(address);
    if (expired.length > 0) await this.remove(expired);
  }

  /** Remembered nodes: those that served last time, then untried ones, then the others. */
  private ranked(): Announcement[] {
    const rank = ({ address }: Announcement) => Number(this.hasServed.get(address) ?? 0.5);
    return [...this.known].sort((left, right) => rank(right) - rank(left));
  }

  private remember(announcements: readonly Announcement[], records: readonly StoredRecord[]): void {
    const addressesOf = (all: readonly Announcement[]) => all.map(({ address }) => address).join();
    const hasChanged = addressesOf(announcements) !== addressesOf(this.known);
    this.known = announcements;
    if (!hasChanged) return;
    const version = Math.max(0, ...records.map((record) => record.version));
    this.report(`${announcements.length} known`, version);
  }

  private report(change: string, version: number): void {
    this.logger.record({ event: 'belief-changed', subject: 'peers', name: TABLE, change, version });
  }

  private async scan(from: string | undefined): Promise<readonly StoredRecord[] | undefined> {
    const page = await this.store.scan({ table: TABLE, partition: '', from, limit: REMEMBERED + 1 });
    return page.isOk() ? page.value.records : undefined;
  }

  private isExpired(record: StoredRecord): boolean {
    return isExpired(parse(record), this.store.nowMs());
  }

  /** Nodes that are gone for good leave their announcements behind. */
  private async remove(records: readonly StoredRecord[]): Promise<void> {
    const conditions = records.map(({ key, version }) => ({ ...recordAddress(key), version }));
    const removals = records.map(({ key }) => recordAddress(key));
    await this.store.transact({ conditions, writes: [], removals });
  }
}

function recordAddress(nodeName: string): RecordAddress {
  return { table: TABLE, partition: '', key: nodeName };
}

function parse({ value }: StoredRecord): Announcement {
  return parseAnnouncement(value);
}
