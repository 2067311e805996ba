/**
 * Collects chunks in blocks, so that neither their number nor a copy of a large body costs memory. The sizes of blocks
 * fit the allocator of glibc, which keeps freed blocks of other sizes for later use: it joins those of one small size,
 * and maps those beyond 32 MiB by themselves, so that their memory is taken only as it is written, and returned.
 */
import type { Holding } from './memory-budget.js';

const BLOCK_BYTES = 64 * 1024;
/** More bytes are collected in one large block. */
const MAX_SMALL_BYTES = 1024 * 1024;
const MIN_LARGE_BLOCK_BYTES = 33 * 1024 * 1024;

/** What is known of the bytes to come, and who counts the memory that copying leaves behind. */
export interface CollectorOptions {
  /** Most bytes that will be added. Default: no limit. */
  readonly maxBytes?: number;
  /** Total, if it is known. */
  readonly expectedBytes?: number;
  readonly holding?: Holding;
}

export class ByteCollector {
  length = 0;
  /** Filled blocks, and the first chunk, which is kept as it is since most bodies have no other. */
  private readonly full: Buffer[] = [];
  private block = Buffer.alloc(0);
  /** Bytes of `block` that are used. */
  private used = 0;

  constructor(private readonly options: CollectorOptions = {}) {}

  add(chunk: Buffer): void {
    this.length += chunk.length;
    if (this.full.length === 0 && this.used === 0) this.full.push(chunk);
    else this.copy(chunk);
  }

  /** All bytes. No more may be added. */
  concat(): Buffer {
    const last = this.block.subarray(0, this.used);
    const parts = this.used > 0 ? [...this.full, last] : this.full;
    const [first] = parts;
    return first && parts.length === 1 ? first : Buffer.concat(parts, this.length);
  }

  private copy(chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length; ) {
      if (this.used === this.block.length) this.beginBlock(chunk.length - offset);
      const copied = chunk.copy(this.block, this.used, offset);
      this.used += copied;
      offset += copied;
    }
    this.options.holding?.noteCopied(chunk.length);
  }

  /** Begins a block for `pendingBytes` of the current chunk and what follows. */
  private beginBlock(pendingBytes: number): void {
    const { expectedBytes = this.length } = this.options;
    if (this.used > 0) this.full.push(this.block);
    if (expectedBytes > MAX_SMALL_BYTES) this.beginLargeBlock(this.length - pendingBytes);
    else {
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.used = 0;
    }
  }

  /** Begins a block for all bytes, and copies those that were collected. */
  private beginLargeBlock(collectedBytes: number): void {
    const { expectedBytes, maxBytes = 2 * this.length } = this.options;
    const bytes = Math.max(this.length, expectedBytes ?? maxBytes, MIN_LARGE_BLOCK_BYTES);
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.used = 0;
    for (const part of this.full.splice(0)) this.used += part.copy(this.block, this.used);
    this.options.holding?.noteReplaced(collectedBytes);
  }
}
