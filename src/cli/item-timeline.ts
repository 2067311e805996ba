/**
 * Reconstructs the timeline of each job item from log lines: queueing, attempts on replicas, scoring and the
 * listing of its result. Times are in milliseconds since the job was accepted. Items whose outcome or listing
 * was not logged are omitted.
 */
import { groupBy } from '../common/collections.js';
import type { TraceLine } from './trace.js';

const LISTED = 'listed';
/** Outcome of an attempt that the replica declined. */
export const DECLINED = 'declined';
const WHOLE = 'whole';
const COMPLETED = 'completed';
const OUTCOMES: ReadonlySet<string> = new Set([COMPLETED, 'dead']);

/** One attempt to run an item on a replica. */
export interface Attempt {
  readonly replica: string;
  readonly outcome: string;
  readonly startMs: number;
  readonly endMs: number;
}

/** One transaction that added results to the job's list. */
interface Listing {
  readonly startMs: number;
  readonly endMs: number;
}

/** Breakdown of the time from the job's acceptance until the item's result was listed, in milliseconds. */
export interface ItemDurations {
  /** Time before and between attempts. */
  readonly queueMs: number;
  /** Time in attempts that a replica declined. */
  readonly declinedMs: number;
  /** Time in attempts that failed or whose stream ended early. */
  readonly brokenMs: number;
  /** Time in the attempt that completed. */
  readonly runMs: number;
  /** From the end of the last attempt to the score. */
  readonly scoringMs: number;
  /** From the score to the listing of the result. */
  readonly listingMs: number;
}

export interface ItemTimeline {
  readonly id: string;
  readonly group: string;
  readonly state: string;
  readonly events: number;
  readonly attempts: number;
  readonly listedMs: number;
  readonly waits: ItemDurations;
}

/** Attempts by item ID. */
export function attemptsByItem(lines: readonly TraceLine[], acceptedAtMs: number): Map<string, Attempt[]> {
  const ended = lines.filter((line) => line.event === 'attempt-ended');
  const byItem = groupBy(ended, ({ fields }) => String(fields.requestId));
  return new Map(
    [...byItem].map(([id, own]) => [id, own.map((line) => attemptOf(line, line.timeMs - acceptedAtMs))]),
  );
}

/** Timelines of the items whose outcome and listing were logged. */
export function itemsOf(
  lines: readonly TraceLine[],
  acceptedAtMs: number,
  attempts: ReadonlyMap<string, readonly Attempt[]>,
): ItemTimeline[] {
  const listings = lines
    .filter((line) => line.event === 'results-listed' && line.fields.outcome === LISTED)
    .map((line) => listingOf(line, line.timeMs - acceptedAtMs));
  const outcomes = lines.filter(
    ({ event, fields }) => event === 'item-changed' && OUTCOMES.has(String(fields.change)),
  );
  const byItem = groupBy(outcomes, ({ fields }) => String(fields.requestId));
  return [...byItem].flatMap(([id, [outcome]]) =>
    outcome ? itemOf(outcome, outcome.timeMs - acceptedAtMs, attempts.get(id) ?? [], listings) : [],
  );
}

function listingOf(line: TraceLine, endMs: number): Listing {
  return { startMs: endMs - Number(line.fields.tookMs), endMs };
}

function attemptOf(line: TraceLine, endMs: number): Attempt {
  const startMs = endMs - Number(line.fields.tookMs);
  return { replica: String(line.fields.replica), outcome: String(line.fields.outcome), startMs, endMs };
}

/** Pairs the item with the first listing that began after its outcome; empty if there is none. */
function itemOf(
  outcome: TraceLine,
  atMs: number,
  attempts: readonly Attempt[],
  listings: readonly Listing[],
): ItemTimeline[] {
  const listing = listings.find(({ startMs }) => startMs >= atMs - 1);
  if (!listing) return [];
  const lastEndMs = attempts.at(-1)?.endMs ?? atMs;
  const tookMs = (predicate: (attempt: Attempt) => boolean) =>
    attempts.filter(predicate).reduce((sum, { startMs, endMs }) => sum + endMs - startMs, 0);
  const declinedMs = tookMs((attempt) => attempt.outcome === DECLINED);
  const runMs = tookMs((attempt) => attempt.outcome === WHOLE);
  const brokenMs = tookMs(() => true) - declinedMs - runMs;
  return [
    {
      id: String(outcome.fields.requestId),
      group: String(outcome.fields.group),
      state: String(outcome.fields.change),
      events: Number(outcome.fields.events),
      attempts: attempts.length,
      listedMs: listing.endMs,
      waits: {
        queueMs: Math.max(0, lastEndMs - declinedMs - runMs - brokenMs),
        declinedMs,
        brokenMs,
        runMs,
        scoringMs: atMs - lastEndMs,
        listingMs: listing.endMs - atMs,
      },
    },
  ];
}

/**
 * The complete groups that the submitter waits for, each represented by its last listed item, in order of
 * completion. Carried groups always count; the remaining places go to the other groups that completed first.
 */
export function completeGroups(
  items: readonly ItemTimeline[],
  groupSize: number,
  wanted: number,
  carried: ReadonlySet<string>,
): ItemTimeline[] {
  const byListing = (left: ItemTimeline, right: ItemTimeline) => left.listedMs - right.listedMs;
  const whole = [...groupBy(items, ({ group }) => group).values()]
    .filter((group) => group.length >= groupSize)
    .map((group) => group.reduce((last, item) => (item.listedMs > last.listedMs ? item : last)))
    .sort(byListing);
  const others = whole.filter(({ group }) => !carried.has(group)).slice(0, wanted - carried.size);
  return [...whole.filter(({ group }) => carried.has(group)), ...others].sort(byListing);
}

export function completedLines(lines: readonly TraceLine[]): TraceLine[] {
  return lines.filter(({ event, fields }) => event === 'item-changed' && fields.change === COMPLETED);
}
