/**
 * Writes lines to a file descriptor without ever blocking the event loop: one write at a time, in a bounded buffer.
 * When the reader is too slow, lines are dropped and counted. (`process.stdout` blocks when it is a pipe.)
 */
import { write, writeSync } from 'node:fs';

/** Bytes that may wait for the reader. */
const DEFAULT_BUFFER_BYTES = 256 * 1024;

/** A bounded writer of lines. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;

  constructor(
    private readonly descriptor: number,
    private readonly bufferBytes = DEFAULT_BUFFER_BYTES,
  ) {}

  /** Lines dropped so far. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Takes one line without its line feed. Returns false when it was dropped. */
  write(line: string): boolean {
    if (this.waitingBytes + line.length > this.bufferBytes) {
      this.droppedLines += 1;
      return false;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length + 1;
    if (!this.isWriting) this.writeNext();
    return true;
  }

  /** Writes what waits before the process ends; gives up when the reader does not take it. */
  flushAtExit(): void {
    try {
      if (this.waiting.length > 0) writeSync(this.descriptor, `${this.waiting.join('\n')}\n`);
    } catch {
      this.droppedLines += this.waiting.length;
    }
    this.waiting = [];
  }

  private writeNext(): void {
    if (this.waiting.length === 0) return;
    const bytes = Buffer.from(`${this.waiting.join('\n')}\n`, 'utf8');
    this.waiting = [];
    this.isWriting = true;
    this.writeRest(bytes);
  }

  private writeRest(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      if (!error && written < bytes.length) {
        this.writeRest(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length + 1, 0);
      this.writeNext();
    });
  }
}
