/**
 * Limits the bytes that a server may send on a client's connection: none while no request is waiting, few
 * before the head of a response, and a maximum for a whole response. Beyond them the connection is destroyed.
 * undici bounds only the names and values of headers and the body that it hands on, so a status line, interim
 * responses, spaces, line breaks or chunk extensions without end are read for as long as they come.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { TransportError } from './transport-error.js';

/** Bytes before the head of a response is whole: four times the headers that undici takes. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Framing of a chunked body beyond the size of the body itself, bytes: chunks of a byte or two, extensions. */
const MAX_FRAMING_BYTES = 1024 * 1024;
/** Statuses below are interim: the head of the response is still to come. */
const MIN_FINAL_STATUS = 200;

/** What the server may send now. */
type Phase = 'nothing' | 'head' | 'body';

/** Received bytes of one connection, which has one request at a time. */
class ReceivedBytes {
  private phase: Phase = 'nothing';
  private count = 0;
  private bodyBytes = 0;

  constructor(private readonly maxResponseBytes: number) {}

  begin(phase: Phase): void {
    if (phase === 'head') this.count = this.bodyBytes = 0;
    this.phase = phase;
  }

  add(bytes: number): void {
    this.count += bytes;
  }

  addBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Why no more bytes may be received; `undefined` if they may be. */
  excess(): TransportError | undefined {
    if (this.phase === 'nothing') return tooLarge('bytes while no request was waiting');
    const limit = this.phase === 'head' ? MAX_HEAD_BYTES : this.maxResponseBytes;
    if (this.count - 2 * this.bodyBytes > MAX_FRAMING_BYTES) return tooLarge('more framing than body');
    return this.count > limit
      ? tooLarge(`more than ${limit} bytes before the end of its ${this.phase}`)
      : undefined;
  }
}

function tooLarge(detail: string): TransportError {
  return new TransportError('response-too-large', true, `the server sent ${detail}`);
}

const ofSocket = new WeakMap<object, ReceivedBytes>();
const ofRequest = new WeakMap<object, ReceivedBytes>();

/** Messages of undici's diagnostics channels. */
interface RequestMessage {
  readonly request: object;
}
interface SentMessage extends RequestMessage {
  readonly socket: object;
}
interface BodyMessage extends RequestMessage {
  readonly chunk: Buffer;
}
interface HeadMessage extends RequestMessage {
  readonly response: { readonly statusCode: number };
}

subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as SentMessage;
  const received = ofSocket.get(socket);
  if (!received) return;
  ofRequest.set(request, received);
  received.begin('head');
});
subscribe('undici:request:headers', (message) => {
  const { request, response } = message as HeadMessage;
  if (response.statusCode >= MIN_FINAL_STATUS) ofRequest.get(request)?.begin('body');
});
subscribe('undici:request:bodyChunkReceived', (message) => {
  const { request, chunk } = message as BodyMessage;
  ofRequest.get(request)?.addBody(chunk.length);
});
subscribe('undici:request:trailers', (message) => {
  ofRequest.get((message as RequestMessage).request)?.begin('nothing');
});

/** Destroys `socket` once the server exceeds a limit. undici parses each read at once. */
export function limitReceivedBytes(socket: Socket, maxResponseBytes: number): void {
  const received = new ReceivedBytes(maxResponseBytes);
  ofSocket.set(socket, received);
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    const chunk = read(size);
    const excess = chunk === null ? undefined : received.excess();
    if (excess) {
      socket.destroy(excess);
      return null;
    }
    received.add(chunk?.length ?? 0);
    return chunk;
  };
  const unshift = socket.unshift.bind(socket);
  socket.unshift = (chunk: Buffer, encoding?: BufferEncoding) => {
    received.add(-chunk.length);
    unshift(chunk, encoding);
  };
}
