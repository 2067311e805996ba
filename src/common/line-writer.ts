/**
 * Writes lines to a stream without waiting for its reader: unread lines are buffered up to a limit, further
 * ones are dropped and counted. Lines of one event loop turn share a write.
 */
import type { Writable } from 'node:stream';
import { sleep } from './clock.js';

/** Several seconds of logs of a busy node (docs/design/logging.md). */
const DEFAULT_BUFFER_BYTES = 256 * 1024;
/** Short compared with the limit of a flush. */
const FLUSH_POLL_MS = 10;

export class LineWriter {
  private batch: string[] = [];
  private batchBytes = 0;
  private droppedLines = 0;

  constructor(
    private readonly stream: Writable,
    private readonly bufferBytes = DEFAULT_BUFFER_BYTES,
  ) {}

  get dropped(): number {
    return this.droppedLines;
  }

  /** `line` has no line feed. Returns false if it was dropped. */
  write(line: string): boolean {
    if (this.bufferedBytes + line.length > this.bufferBytes) {
      this.droppedLines += 1;
      return false;
    }
    if (this.batch.length === 0) setImmediate(() => this.writeBatch());
    this.batch.push(line);
    this.batchBytes += line.length + 1;
    return true;
  }

  /** Waits until the reader has read everything, or for `timeoutMs` milliseconds. */
  async flush(timeoutMs: number): Promise<void> {
    this.writeBatch();
    for (let waitedMs = 0; this.stream.writableLength > 0 && waitedMs < timeoutMs; waitedMs += FLUSH_POLL_MS)
      await sleep(FLUSH_POLL_MS);
  }

  private get bufferedBytes(): number {
    return this.stream.writableLength + this.batchBytes;
  }

  private writeBatch(): void {
    if (this.batch.length === 0) return;
    const text = `${this.batch.join('\n')}\n`;
    this.batch = [];
    this.batchBytes = 0;
    this.stream.write(text);
  }
}
