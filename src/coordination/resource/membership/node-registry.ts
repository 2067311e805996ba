/**
 * Tracks the nodes of the fleet by the heartbeat records that they write to the store. A node is dead if its
 * record has not changed for the expiry time. After a store outage the expiry time of every node starts anew.
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
import {
  applyEach,
  type FeedHandler,
  type FeedObserver,
  RecordFeed,
  readPartition,
} from '../../feeds/index.js';

const NODE_TABLE = 'nodes';
/** Share of the expiry time without a store response that counts as an outage. */
const OUTAGE_FRACTION = 0.5;

/** `expiryMs`: age of the last heartbeat after which a node is dead. */
export interface NodeRegistryOptions {
  readonly heartbeatIntervalMs: number;
  readonly expiryMs: number;
}

export interface KnownNode extends NodeRecord {
  readonly state: 'alive' | 'dead';
}

/** Maximum length of a line about a record that another process wrote, characters. */
const MAX_LINE_LENGTH = 400;

interface ObservedNode {
  readonly record: NodeRecord;
  /** Time of the last observed change, on the monotonic clock of this node. */
  seenAtMs: number;
}

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
      failed: (table, key, problem) =>
        observer.logger.info(`feed ${table}: record ${key} failed: ${problem}`.slice(0, MAX_LINE_LENGTH)),
    };
    this.feed = new RecordFeed(store, this, feedObserver);
  }

  /** Writes heartbeats and follows the records of other nodes until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.feed.run(signal), this.heartbeatLoop(signal)]);
  }

  /** Nodes considered alive, including this one, sorted by ID. */
  active(): NodeRecord[] {
    return this.allNodes().filter((node) => node.state === 'alive');
  }

  /** Nodes considered alive, without this one. */
  others(): NodeRecord[] {
    return this.active().filter((node) => node.id !== this.own.id);
  }

  /** All nodes that have not announced their shutdown, sorted by ID. */
  allNodes(): KnownNode[] {
    return [...this.nodes.values()]
      .map(({ record, seenAtMs }) => ({ ...record, state: this.stateOf(seenAtMs) }))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  /** The last record of a node; `undefined` if it is unknown or has shut down. */
  get(id: string): NodeRecord | undefined {
    return this.nodes.get(id)?.record;
  }

  /** Removes the record of this node at shutdown, best effort; otherwise it expires. */
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
    applyEach(
      records,
      ({ key }) => key,
      (record) => this.apply(record),
    );
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

  /** Restarts the expiry time of every node after a store outage. */
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
