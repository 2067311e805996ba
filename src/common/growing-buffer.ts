/** Bytes that arrive in pieces of any size, in one block that doubles when it is full. */
export class GrowingBuffer {
  private block: Buffer = Buffer.alloc(0);
  private used = 0;

  get length(): number {
    return this.used;
  }

  /** Adds a piece; returns all bytes. The result is valid until the next call. */
  append(piece: Buffer): Buffer {
    const length = this.used + piece.length;
    if (length > this.block.length) {
      const block = Buffer.allocUnsafe(Math.max(length, 2 * this.block.length));
      this.block.copy(block, 0, 0, this.used);
      this.block = block;
    }
    piece.copy(this.block, this.used);
    this.used = length;
    return this.block.subarray(0, length);
  }

  /** Removes the first bytes. */
  dropFirst(count: number): void {
    this.block.copyWithin(0, count, this.used);
    this.used -= count;
    if (this.used === 0) this.block = Buffer.alloc(0);
  }
}
