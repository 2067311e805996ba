/**
 * Bounds the bytes that a process holds for others: bodies that are being received, requests that wait or run,
 * answers that are being read or sent. Every holder counts its bytes here. When they exceed the limit, the holding
 * that has kept the most bytes for the longest time is given up, so that clients that stop in the middle make room
 * for those that go on, and large bodies for small ones.
 *
 * The memory of released bytes comes back only when garbage is collected. The budget counts it as well, and collects
 * before there is too much of it.
 */
import { monotonicMs } from '../common/clock.js';
import type { Generation } from '../common/garbage-collector.js';

/** Limits, bytes. */
export interface MemoryLimits {
  /** For all holdings together. */
  readonly heldBytes: number;
  /** Beyond `heldBytes`, for small holdings only, so that large ones never exclude them. */
  readonly reservedBytes: number;
  /** Released bytes that may wait for a collection. */
  readonly garbageBytes: number;
  /** Bytes in chunks that were copied or dropped, which may wait for a collection of young objects. */
  readonly youngGarbageBytes: number;
}

/** Bytes that are held for one caller, peer or replica. */
export interface Holding {
  /** Counts further bytes. `giveUp` of this holding or of others may be called before it returns. */
  grow(bytes: number): void;
  /** Counts bytes that were copied into a block, so that the chunk they came in is garbage. */
  noteCopied(bytes: number): void;
  /** Counts a block that was replaced by a larger one. */
  noteReplaced(bytes: number): void;
  /** Excludes the holding from being given up, as for a request that may run. */
  pin(): void;
  /** Gives the bytes back. Has no effect on a holding that was given up or released. */
  release(): void;
}

/** Larger holdings must not use `reservedBytes`. */
const SMALL_HOLDING_BYTES = 64 * 1024;
/** Added to the time since the last progress, so that of two holdings in progress the larger one is given up. */
const MIN_IDLE_MS = 100;

interface Entry {
  bytes: number;
  grownAtMs: number;
  isPinned: boolean;
  readonly giveUp: () => void;
}

export class MemoryBudget {
  /** Holdings that were given up so far. */
  givenUpCount = 0;
  private readonly entries = new Set<Entry>();
  private usedBytes = 0;
  private garbageBytes = 0;
  private youngGarbageBytes = 0;

  constructor(
    private readonly limits: MemoryLimits,
    private readonly collectGarbage: (generation: Generation) => void,
    private readonly nowMs: () => number = monotonicMs,
  ) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Most bytes that can be held for one request. */
  get limitBytes(): number {
    return this.limits.heldBytes;
  }

  /** Begins a holding. `giveUp` must drop its bytes without delay; the holding is released already. */
  open(giveUp: () => void): Holding {
    const entry: Entry = { bytes: 0, grownAtMs: this.nowMs(), isPinned: false, giveUp };
    this.entries.add(entry);
    return {
      grow: (bytes) => this.grow(entry, bytes),
      noteCopied: (bytes) => this.noteYoungGarbage(bytes),
      noteReplaced: (bytes) => {
        this.garbageBytes += bytes;
      },
      pin: () => {
        entry.isPinned = true;
      },
      release: () => this.release(entry),
    };
  }

  /** Holds a number of bytes that is known before; `undefined` if there is no room for them. */
  tryHold(bytes: number): Holding | undefined {
    let hasRoom = true;
    const holding = this.open(() => {
      hasRoom = false;
    });
    holding.grow(bytes);
    holding.pin();
    return hasRoom ? holding : undefined;
  }

  /** Counts bytes that were received and dropped at once. */
  noteYoungGarbage(bytes: number): void {
    this.youngGarbageBytes += bytes;
    if (this.youngGarbageBytes <= this.limits.youngGarbageBytes) return;
    this.youngGarbageBytes = 0;
    this.collectGarbage('young');
  }

  private grow(entry: Entry, bytes: number): void {
    if (!this.entries.has(entry)) return;
    this.collectIfNeeded();
    entry.bytes += bytes;
    entry.grownAtMs = this.nowMs();
    this.usedBytes += bytes;
    while (this.entries.has(entry) && this.usedBytes > this.limitFor(entry)) {
      const worst = this.findWorst();
      if (!worst) return;
      this.givenUpCount += 1;
      this.release(worst);
      worst.giveUp();
    }
  }

  private limitFor({ bytes }: Entry): number {
    const { heldBytes, reservedBytes } = this.limits;
    return bytes > SMALL_HOLDING_BYTES ? heldBytes : heldBytes + reservedBytes;
  }

  /** The holding with the largest product of bytes and time without progress, if any may be given up. */
  private findWorst(): Entry | undefined {
    const now = this.nowMs();
    let worst: Entry | undefined;
    let worstCost = 0;
    for (const entry of this.entries) {
      const cost = entry.isPinned ? 0 : entry.bytes * (now - entry.grownAtMs + MIN_IDLE_MS);
      if (cost <= worstCost) continue;
      worst = entry;
      worstCost = cost;
    }
    return worst;
  }

  private release(entry: Entry): void {
    if (!this.entries.delete(entry)) return;
    this.usedBytes -= entry.bytes;
    this.garbageBytes += entry.bytes;
  }

  private collectIfNeeded(): void {
    if (this.garbageBytes <= this.limits.garbageBytes) return;
    this.garbageBytes = 0;
    this.youngGarbageBytes = 0;
    this.collectGarbage('all');
  }
}
