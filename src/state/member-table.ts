/**
 * What this node knows of the members of the system. A record replaces another one of the same member when its
 * incarnation is larger, or when it is the same and the state is worse. Only a member raises its own incarnation.
 */
import type { MemberRecord } from '../protocol/peer.js';
import { hashText } from './rendezvous.js';

const SEVERITY: Readonly<Record<MemberRecord['state'], number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Times that a rumour is passed on, for each doubling of the number of members. */
const SPREAD_FACTOR = 3;
/** Rumours in one message at most. */
const RUMOURS_PER_MESSAGE = 8;

interface Rumour {
  readonly memberId: string;
  remaining: number;
}

/** Agreements in a row after which the news is taken to have spread. */
const AGREEMENTS_UNTIL_QUIET = 4;

/** Called when a member's state changed. */
export type MemberListener = (record: MemberRecord, before: MemberRecord | undefined) => void;

/** One table for a node. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  private readonly rumours = new Map<string, Rumour>();
  private ownRecord: MemberRecord;
  private cachedDigest: number | undefined;
  /** All records by ID; asked for with every message, so it is kept until a record changes. */
  private cachedOrder: readonly MemberRecord[] | undefined;
  private agreements = 0;

  constructor(
    own: MemberRecord,
    private readonly onChange: MemberListener = () => {},
  ) {
    this.ownRecord = own;
    this.records.set(own.id, own);
  }

  /** This node's own record. */
  get own(): MemberRecord {
    return this.ownRecord;
  }

  /** Members that may be alive, this node among them, by ID. */
  active(): MemberRecord[] {
    return this.everyone().filter((record) => record.state === 'alive' || record.state === 'suspect');
  }

  /** Other members that may be alive. */
  others(): MemberRecord[] {
    return this.active().filter((record) => record.id !== this.ownRecord.id);
  }

  /**
   * Members that count for a majority: all but those that said that they leave or were removed. A member that is
   * merely unreachable still counts, so that two halves cannot both be a majority.
   */
  electorate(): MemberRecord[] {
    return this.everyone().filter((record) => record.state !== 'left');
  }

  /** Every record, by ID. */
  everyone(): readonly MemberRecord[] {
    this.cachedOrder ??= [...this.records.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
    return this.cachedOrder;
  }

  /** One record. */
  get(id: string): MemberRecord | undefined {
    return this.records.get(id);
  }

  /** Takes over a record if it is newer. A rumour that this node is gone is refuted. */
  merge(record: MemberRecord): void {
    if (record.id === this.ownRecord.id) {
      this.refute(record);
      return;
    }
    const before = this.records.get(record.id);
    if (before && !isNewer(record, before)) return;
    this.records.set(record.id, record);
    this.spread(record.id);
    if (before?.state !== record.state) this.onChange(record, before);
  }

  /** Announces a new state of this node. */
  announceOwn(state: MemberRecord['state']): void {
    this.ownRecord = { ...this.ownRecord, state, incarnation: this.ownRecord.incarnation + 1 };
    this.records.set(this.ownRecord.id, this.ownRecord);
    this.spread(this.ownRecord.id);
  }

  /** Hash of all records; members that hold the same ones have the same hash. */
  digest(): number {
    this.cachedDigest ??= hashText(
      this.everyone()
        .map((record) => `${record.id}/${record.incarnation}/${record.state}`)
        .join(),
    );
    return this.cachedDigest;
  }

  /**
   * Notes whether another member holds the same records. After several agreements in a row the news has spread, and
   * the rumours are dropped.
   */
  noteDigest(digest: number): void {
    this.agreements = digest === this.digest() ? this.agreements + 1 : 0;
    if (this.agreements >= AGREEMENTS_UNTIL_QUIET) this.rumours.clear();
  }

  /** Whether the last member that was asked held other records. */
  get hasDisagreement(): boolean {
    return this.agreements === 0;
  }

  /** Rumours to put on the next message; each is passed on a bounded number of times. */
  takeRumours(): MemberRecord[] {
    const chosen = [...this.rumours.values()]
      .sort((a, b) => b.remaining - a.remaining)
      .slice(0, RUMOURS_PER_MESSAGE);
    for (const rumour of chosen) {
      rumour.remaining -= 1;
      if (rumour.remaining <= 0) this.rumours.delete(rumour.memberId);
    }
    return chosen.flatMap((rumour) => this.records.get(rumour.memberId) ?? []);
  }

  private refute(record: MemberRecord): void {
    if (record.incarnation < this.ownRecord.incarnation) return;
    if (record.incarnation === this.ownRecord.incarnation && record.state === this.ownRecord.state) return;
    this.ownRecord = { ...this.ownRecord, incarnation: record.incarnation + 1 };
    this.records.set(this.ownRecord.id, this.ownRecord);
    this.spread(this.ownRecord.id);
  }

  private spread(memberId: string): void {
    this.cachedDigest = undefined;
    this.cachedOrder = undefined;
    this.agreements = 0;
    const remaining = SPREAD_FACTOR * Math.ceil(Math.log2(this.records.size + 1));
    this.rumours.set(memberId, { memberId, remaining });
  }
}

function isNewer(record: MemberRecord, before: MemberRecord): boolean {
  if (record.incarnation !== before.incarnation) return record.incarnation > before.incarnation;
  return SEVERITY[record.state] > SEVERITY[before.state];
}
