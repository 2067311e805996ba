/**
 * Watches: changes of a kind as NDJSON, with bookmarks while nothing changes. They read the configuration in
 * force on this node; a watch ends when the node leaves or its entries are no longer kept, and the client
 * lists and watches again.
 */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import type { ConfigEntry } from '../../../protocol/resource/configuration-entry.js';
import type { Kind } from '../../../protocol/resource/resource.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import { disconnectSignal } from '../../../transport/http-server.js';
import { writeChunk } from '../../../transport/stream-write.js';
import { type Exchange, InvalidRequestError } from './exchange.js';

/** Longest time without a line, milliseconds. Chosen, not measured. */
const BOOKMARK_INTERVAL_MS = 5_000;

/** One line of a watch. */
interface WatchLine {
  readonly type: 'PUT' | 'DELETE' | 'BOOKMARK';
  readonly resourceVersion: number;
  readonly kind?: string;
  readonly name?: string;
  readonly resource?: unknown;
}

function linesOf(entry: ConfigEntry, kind: Kind): WatchLine[] {
  return entry.changes
    .filter((change) => change.kind === kind)
    .map((change) => ({
      type: change.resource === null ? 'DELETE' : 'PUT',
      resourceVersion: entry.revision,
      kind: change.kind,
      name: change.name,
      ...(change.resource === null ? {} : { resource: change.resource }),
    }));
}

/** Streams the changes after `resourceVersion`; error `watch-expired` when they are no longer kept. */
export async function watchResources(
  view: ConfigView,
  exchange: Exchange,
  kind: Kind,
  leaving: AbortSignal,
): CoordinationResult<void> {
  const from = startRevision(view, exchange);
  if (from.isErr()) return err(from.error);
  const signal = AbortSignal.any([disconnectSignal(exchange.response), leaving]);
  exchange.response.writeHead(200, { 'content-type': 'application/x-ndjson' });
  exchange.response.flushHeaders();
  await writeChanges(view, exchange, kind, from.value, signal);
  exchange.response.end();
  return ok(undefined);
}

function startRevision(view: ConfigView, exchange: Exchange): Result<number, CoordinationError> {
  const requested = exchange.url.searchParams.get('resourceVersion');
  const revision = requested === null ? view.revision : Number(requested);
  if (!Number.isInteger(revision) || revision < 0) {
    return err(new InvalidRequestError([{ field: 'resourceVersion', message: 'must be a whole number' }]));
  }
  if (view.entriesAfter(revision) !== undefined) return ok(revision);
  const message = `changes after ${revision} are no longer kept; list again and watch from there`;
  return err(new CoordinationError('watch-expired', 'no', message));
}

/** Writes changes until `signal` aborts, the client disconnects, or entries are no longer kept. */
async function writeChanges(
  view: ConfigView,
  exchange: Exchange,
  kind: Kind,
  from: number,
  signal: AbortSignal,
): Promise<void> {
  let revision = from;
  while (!signal.aborted) {
    const entries = view.entriesAfter(revision);
    if (entries === undefined) return;
    const lines = entries.flatMap((entry) => linesOf(entry, kind));
    revision = Math.max(revision, entries.at(-1)?.revision ?? 0);
    if (lines.length === 0) lines.push({ type: 'BOOKMARK', resourceVersion: revision });
    const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
    if (!(await writeChunk(exchange.response, text))) return;
    await view.waitForRevision(revision + 1, BOOKMARK_INTERVAL_MS, signal);
    await sleep(0);
  }
}
