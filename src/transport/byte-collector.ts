/** Collects chunks of any size; small ones are copied together, since each chunk of its own costs memory. */

/** Smaller chunks are copied. */
const SMALL_CHUNK_BYTES = 4 * 1024;
const BLOCK_BYTES = 16 * 1024;

export class ByteCollector {
  length = 0;
  private readonly chunks: Buffer[] = [];
  private block = Buffer.alloc(0);
  /** Bytes of `block` that are used, and those of them that are in `chunks`. */
  private used = 0;
  private taken = 0;

  add(chunk: Buffer): void {
    this.length += chunk.length;
    if (chunk.length >= SMALL_CHUNK_BYTES) {
      this.closePart();
      this.chunks.push(chunk);
      return;
    }
    if (this.used + chunk.length > this.block.length) {
      this.closePart();
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.used = this.taken = 0;
    }
    chunk.copy(this.block, this.used);
    this.used += chunk.length;
  }

  concat(): Buffer {
    this.closePart();
    const [first] = this.chunks;
    return first && this.chunks.length === 1 ? first : Buffer.concat(this.chunks, this.length);
  }

  private closePart(): void {
    if (this.used > this.taken) this.chunks.push(this.block.subarray(this.taken, this.used));
    this.taken = this.used;
  }
}
