/** Watches: changes of a kind as NDJSON, with bookmarks while nothing changes. */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { CoordinationError } from '../../../coordination/resource/coordination-error.js';
import type { ConfigEntry } from '../../../protocol/resource/configuration-entry.js';
import type { Kind } from '../../../protocol/resource/resource.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import { callerGone } from '../../../transport/http-server.js';
import { writeChunk } from '../../../transport/stream-write.js';
import { type Exchange, InvalidRequestError } from './exchange.js';

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

/** Streams the changes after `resourceVersion`, or 410 when they are no longer kept. Ends when the node leaves. */
export async function watchResources(
  view: ConfigView,
  exchange: Exchange,
  kind: Kind,
  leaving: AbortSignal,
): Promise<Result<void, CoordinationError>> {
  const asked = exchange.url.searchParams.get('resourceVersion');
  let revision = asked === null ? view.revision : Number(asked);
  if (!Number.isInteger(revision) || revision < 0) {
    return err(new InvalidRequestError([{ field: 'resourceVersion', message: 'must be a whole number' }]));
  }
  if (view.entriesAfter(revision) === undefined) {
    const message = `changes after ${revision} are no longer kept; list again and watch from there`;
    return err(new CoordinationError('watch-expired', 'no', message));
  }
  const signal = AbortSignal.any([callerGone(exchange.response), leaving]);
  exchange.response.writeHead(200, { 'content-type': 'application/x-ndjson' });
  exchange.response.flushHeaders();
  while (!signal.aborted) {
    const entries = view.entriesAfter(revision);
    if (entries === undefined) break; // The watcher has to list again.
    const lines = entries.flatMap((entry) => linesOf(entry, kind));
    revision = Math.max(revision, entries.at(-1)?.revision ?? 0);
    if (lines.length === 0) lines.push({ type: 'BOOKMARK', resourceVersion: revision });
    const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
    if (!(await writeChunk(exchange.response, text))) break;
    await view.waitForRevision(revision + 1, BOOKMARK_INTERVAL_MS, signal);
    await sleep(0);
  }
  exchange.response.end();
  return ok(undefined);
}
