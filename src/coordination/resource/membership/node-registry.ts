/**
 * The nodes of the fleet, from the store: each node writes its record there with every heartbeat. A node
 * whose record has not changed for the expiry time, while the store was readable, counts as dead. While the
 * store is not reachable no node expires; after an outage every node gets the whole expiry time again.
 */
import { ok } from 'neverthrow';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { LifecycleObserver } from '../../../common/lifecycle.js';
import type {
  ChangedRecord,
  RecordAddress,
  RecordStore,
  StoredRecord,
} from '../../../protocol/record-store.js';
import type { NodeRecord } from '../../../protocol/resource/peer.js';
import { type FeedHandler, type FeedObserver, RecordFeed, readPartition } from '../../feeds/index.js';

const NODE_TABLE = 'nodes';
/** Time without an answer of the store, as a share of the expiry, after which expiry starts anew. Chosen. */
const OUTAGE_FRACTION = 0.5;

/** Heartbeat interval, and age of the last heartbeat at which a node counts as dead. Milliseconds. */
export interface NodeRegistryOptions {
  readonly heartbeatIntervalMs: number;
  readonly expiryMs: number;
}

/** A node as this one sees it. */
export interface KnownNode extends NodeRecord {
  readonly state: 'alive' | 'dead';
}

interface ObservedNode {
  readonly record: NodeRecord;
  /** When the record was last seen to change, on this node's clock. */
  seenAtMs: number;
}

/** The registry of one node. */
export class NodeRegistry implements FeedHandler<readonly StoredRecord[]> {
  readonly table = NODE_TABLE;
  private readonly nodes = new Map<string, ObservedNode>();
  private readonly feed: RecordFeed<readonly StoredRecord[]>;
  private heartbeat = 0;
  private lastResponseMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: RecordStore,
    readonly own: NodeRecord,
    private readonly options: NodeRegistryOptions,
    observer: LifecycleObserver,
  ) {
    this.nodes.set(own.id, { record: own, seenAtMs: Number.POSITIVE_INFINITY });
    const feedObserver: FeedObserver = {
      answered: () => {
        this.recordResponse();
        observer.metrics.membersAlive.set(this.active().length);
      },
      changed: (table, change) => observer.logger.info(`feed ${table}: ${change}`),
    };
    this.feed = new RecordFeed(store, this, feedObserver);
  }

  /** Writes this node's record and follows the others until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.feed.run(signal), this.heartbeatLoop(signal)]);
  }

  /** Nodes that may be alive, including this one, by identifier. */
  active(): NodeRecord[] {
    return this.allNodes().filter((node) => node.state === 'alive');
  }

  /** Other nodes that may be alive. */
  others(): NodeRecord[] {
    return this.active().filter((node) => node.id !== this.own.id);
  }

  /** All nodes that have not announced that they leave, by identifier. */
  allNodes(): KnownNode[] {
    return [...this.nodes.values()]
      .map(({ record, seenAtMs }) => ({ ...record, state: this.stateOf(seenAtMs) }))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  /** The last record of a node; `undefined` when it is not known or has left. */
  get(id: string): NodeRecord | undefined {
    return this.nodes.get(id)?.record;
  }

  /** Removes this node's record at a planned stop. Best effort: without it the record expires. */
  async announceLeaving(): Promise<void> {
    await this.store.transact({ conditions: [], writes: [], removals: [this.address] });
  }

  async readAll() {
    const read = await readPartition(this.store, NODE_TABLE, '');
    return read.andThen((content) => ok(content));
  }

  replaceAll(records: readonly StoredRecord[]): void {
    const present = new Set(records.map((record) => record.key));
    for (const id of [...this.nodes.keys()])
      if (id !== this.own.id && !present.has(id)) this.nodes.delete(id);
    for (const record of records) this.apply(record);
  }

  apply(change: ChangedRecord): void {
    if (change.key === this.own.id) return;
    if (change.value === undefined) {
      this.nodes.delete(change.key);
      return;
    }
    const { record } = JSON.parse(change.value.toString('utf8')) as { record: NodeRecord };
    this.nodes.set(change.key, { record, seenAtMs: monotonicMs() });
  }

  private get address(): RecordAddress {
    return { table: NODE_TABLE, partition: '', key: this.own.id };
  }

  private stateOf(seenAtMs: number): 'alive' | 'dead' {
    return monotonicMs() - seenAtMs > this.options.expiryMs ? 'dead' : 'alive';
  }

  /** After an outage of the store every node gets the whole expiry time again. */
  private recordResponse(): void {
    const now = monotonicMs();
    if (now - this.lastResponseMs > this.options.expiryMs * OUTAGE_FRACTION)
      for (const node of this.nodes.values()) node.seenAtMs = Math.max(node.seenAtMs, now);
    this.lastResponseMs = now;
  }

  private async heartbeatLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.heartbeat += 1;
      const value = Buffer.from(JSON.stringify({ record: this.own, beat: this.heartbeat }), 'utf8');
      await this.store.transact({ conditions: [], writes: [{ ...this.address, value }], removals: [] });
      await sleep(this.options.heartbeatIntervalMs, signal);
    }
  }
}
