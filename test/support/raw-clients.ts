/** Clients on plain sockets: they send bodies as no library would, stop anywhere, and leave the connection open. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { HEADER } from '../../platform/names.js';
import { HOST, LOOKUP_PATH } from './service-system.js';

/** A body as it is sent. */
export interface RawBody {
  /** Header lines that frame it, each with its line end. */
  readonly framing: string;
  /** What is written, one piece after the other. */
  readonly pieces: () => Iterable<Buffer>;
}

const WRITE_BYTES = 64 * 1024;

function* slicesOf(totalBytes: number, pieceBytes: number): Iterable<Buffer> {
  const piece = Buffer.alloc(Math.min(pieceBytes, totalBytes), 'x');
  for (let left = totalBytes; left > 0; left -= piece.length)
    yield left < piece.length ? piece.subarray(0, left) : piece;
}

/** A body of `announcedBytes` of which `sentBytes` are sent, `pieceBytes` in each write. */
export function announcedBody(
  announcedBytes: number,
  sentBytes = announcedBytes,
  pieceBytes = WRITE_BYTES,
): RawBody {
  return {
    framing: `content-length: ${announcedBytes}\r\n`,
    pieces: () => slicesOf(sentBytes, pieceBytes),
  };
}

/** A chunked body of `bytes` in chunks of `chunkBytes`; without its end unless `isFinished`. */
export function chunkedBody(bytes: number, chunkBytes: number, isFinished: boolean): RawBody {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / chunk.length));
  const write = Buffer.concat(Array.from({ length: perWrite }, () => chunk));
  function* pieces(): Iterable<Buffer> {
    for (let left = bytes / chunkBytes; left > 0; left -= perWrite)
      yield left < perWrite ? write.subarray(0, left * chunk.length) : write;
    if (isFinished) yield Buffer.from('0\r\n\r\n');
  }
  return { framing: 'transfer-encoding: chunked\r\n', pieces };
}

/** Where and as what a request is sent. */
export interface RawRequest {
  readonly id: string;
  readonly path?: string;
  /** Milliseconds. */
  readonly deadlineMs?: number;
  /** Further header lines, each with its line end. */
  readonly extraHead?: string;
}

const DEADLINE_MS = 60_000;

/** One connection with at most one request. */
export class RawClient {
  /** Whether the whole body of `send` was handed to the kernel. */
  hasSent = false;
  private received = '';
  private readonly socket: Socket;

  constructor(url: string) {
    const { hostname, port } = new URL(url);
    this.socket = connect(Number(port), hostname);
    this.socket.setEncoding('latin1');
    this.socket.on('data', (text: string) => {
      this.received += text;
    });
    // A connection that the node ends is told by `isClosed`.
    this.socket.on('error', () => {});
  }

  get isClosed(): boolean {
    return this.socket.destroyed;
  }

  /** Status of the final answer; `undefined` before it or without one. */
  get status(): number | undefined {
    const statuses = [...this.received.matchAll(/^HTTP\/1\.1 (\d{3})/gm)].map(([, status]) => Number(status));
    return statuses.find((status) => status >= 200);
  }

  /** Whether nothing more will be sent. */
  get isSettled(): boolean {
    return this.hasSent || this.isClosed;
  }

  /** What was received, head and body. */
  get text(): string {
    return this.received;
  }

  /** Resolves when the connection is open, or could not be opened. */
  async untilOpen(): Promise<void> {
    if (this.socket.connecting)
      await Promise.race([once(this.socket, 'connect'), once(this.socket, 'close')]);
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Sends a request; resolves when its body was handed to the kernel or the connection has ended. */
  async send(
    { id, path, deadlineMs, extraHead = '' }: RawRequest,
    { framing, pieces }: RawBody,
  ): Promise<void> {
    const fields = `host: ${HOST}\r\n${HEADER.requestId}: ${id}\r\n${HEADER.deadlineMs}: ${deadlineMs ?? DEADLINE_MS}\r\n`;
    await this.write(`POST ${path ?? `${LOOKUP_PATH}x`} HTTP/1.1\r\n${fields}${extraHead}${framing}\r\n`);
    for (const piece of pieces()) await this.write(piece);
    this.hasSent = !this.isClosed;
  }

  /** Writes bytes; resolves when the kernel has taken enough of them, or the connection has ended. */
  async write(bytes: Buffer | string): Promise<void> {
    if (this.isClosed || this.socket.write(bytes)) return;
    const ended = new AbortController();
    const onClose = () => ended.abort();
    this.socket.once('close', onClose);
    await once(this.socket, 'drain', { signal: ended.signal }).catch(() => {});
    this.socket.off('close', onClose);
  }

  close(): void {
    this.socket.destroy();
  }
}
