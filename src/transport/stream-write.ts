/** Writing a stream to a caller with back-pressure. A caller that leaves is no error: writing stops. */
import { once } from 'node:events';
import type { Readable, Writable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { type TransportError, toTransportError } from './transport-error.js';

/** Writes a chunk and waits until the receiver accepts more. False when the receiver has left. */
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
    // Closed or failed while it was waiting to drain: nobody is left to report to.
    return false;
  } finally {
    sink.off('close', onClose);
  }
}

/** Copies a body to a sink without ending the sink. Fails when the source ends before its declared end. */
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
