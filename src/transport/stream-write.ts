/** Writes streams to callers with back-pressure. A disconnected caller is no error: writing stops. */
import { once } from 'node:events';
import type { Readable, Writable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { type TransportError, toTransportError } from './transport-error.js';

/** Writes a chunk and waits for back-pressure. Returns false if the receiver has disconnected. */
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
    // Closed or failed while waiting to drain.
    return false;
  } finally {
    sink.off('close', onClose);
  }
}

/** Copies a body to a sink without ending the sink. Fails if the source is truncated. */
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
