/** Writing a stream to a caller with back-pressure. */
import { once } from 'node:events';
import type { Readable, Writable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { type TransportError, toTransportError } from './transport-error.js';

/** Writes a chunk and waits while the receiver is slower than the sender. False when the receiver has gone. */
export async function writeChunk(sink: Writable, chunk: Buffer | string): Promise<boolean> {
  if (sink.destroyed) return false;
  if (sink.write(chunk)) return true;
  const closed = new AbortController();
  const onClose = () => closed.abort();
  sink.once('close', onClose);
  try {
    await once(sink, 'drain', { signal: closed.signal });
    return true;
  } catch {
    return false;
  } finally {
    sink.off('close', onClose);
  }
}

/** Copies a body to a sink without ending the sink. An error says that the source ended before its end. */
export async function copyBody(source: Readable, sink: Writable): Promise<Result<number, TransportError>> {
  let bytes = 0;
  try {
    for await (const chunk of source) {
      bytes += chunk.length;
      if (!(await writeChunk(sink, chunk))) break;
    }
  } catch (cause) {
    return err(toTransportError(cause));
  }
  return ok(bytes);
}
