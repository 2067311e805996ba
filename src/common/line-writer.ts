/**
 * Writes lines to a stream without ever waiting for its reader: what a slow reader has not taken waits in a bounded buffer,
 * and lines beyond that are dropped and counted. Lines of one turn of the event loop share a write.
 */
import type { Writable } from 'node:stream';
import { sleep } from './clock.js';

/** Bytes that may wait for the reader. */
const DEFAULT_BUFFER_BYTES = 256 * 1024;
const FLUSH_POLL_MS = 10;

/** A bounded writer of lines. */
export class LineWriter {
  private gathered: string[] = [];
  private gatheredBytes = 0;
  private droppedLines = 0;

  constructor(
    private readonly stream: Writable,
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
    if (this.gathered.length === 0) setImmediate(() => this.pass());
    this.gathered.push(line);
    this.gatheredBytes += line.length + 1;
    return true;
  }

  /** Waits until the reader has taken everything, at most `limitMs`. */
  async flush(limitMs: number): Promise<void> {
    this.pass();
    for (let waitedMs = 0; this.stream.writableLength > 0 && waitedMs < limitMs; waitedMs += FLUSH_POLL_MS)
      await sleep(FLUSH_POLL_MS);
  }

  private get waitingBytes(): number {
    return this.stream.writableLength + this.gatheredBytes;
  }

  private pass(): void {
    if (this.gathered.length === 0) return;
    const text = `${this.gathered.join('\n')}\n`;
    this.gathered = [];
    this.gatheredBytes = 0;
    this.stream.write(text);
  }
}
