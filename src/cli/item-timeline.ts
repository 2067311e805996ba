/**
 * How the time of single items was spent, from log lines: runs at replicas, queueing, scoring, listing. Times
 * are milliseconds after the acceptance of the item's job. Only items whose outcome and listing were logged
 * are reported.
 */
import { groupBy } from '../common/collections.js';
import type { TraceLine } from './trace.js';

const LISTED = 'listed';
/** Outcome of a run at a replica that declined the item. */
export const DECLINED = 'declined';
const WHOLE = 'whole';
const COMPLETED = 'completed';
const OUTCOMES: ReadonlySet<string> = new Set([COMPLETED, 'dead']);

/** One run of an item at a replica. */
export interface Attempt {
  readonly replica: string;
  readonly outcome: string;
  readonly startMs: number;
  readonly endMs: number;
}

/** One transaction that listed results. */
interface Listing {
  readonly startMs: number;
  readonly endMs: number;
}

/** Where the time of one item went, milliseconds. */
export interface ItemDurations {
  /** From the job's acceptance, or from an earlier attempt, until a replica was given the item. */
  readonly queueMs: number;
  /** At replicas that declined it. */
  readonly declinedMs: number;
  /** At replicas that failed or ended the stream early. */
  readonly brokenMs: number;
  /** At the replica that finished it. */
  readonly runMs: number;
  /** From the last event to the score. */
  readonly scoringMs: number;
  /** From the score to the listing. */
  readonly listingMs: number;
}

/** One item of a job. */
export interface ItemTimeline {
  readonly id: string;
  readonly group: string;
  readonly state: string;
  readonly events: number;
  readonly attempts: number;
  readonly listedMs: number;
  readonly waits: ItemDurations;
}

/** Runs of each item, by the item's identifier. */
export function attemptsByItem(lines: readonly TraceLine[], acceptedAtMs: number): Map<string, Attempt[]> {
  const ended = lines.filter((line) => line.event === 'attempt-ended');
  const byItem = groupBy(ended, ({ fields }) => String(fields.requestId));
  return new Map(
    [...byItem].map(([id, own]) => [id, own.map((line) => attemptOf(line, line.timeMs - acceptedAtMs))]),
  );
}

/** The items whose outcome and listing were logged. */
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

/** The item, when its listing was logged: the first listing that began after the outcome. */
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
 * The groups that the submitter waits for, in the order in which they were whole, each by its item that was
 * listed last: carried groups, and of the others those that were whole first.
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

/** The lines of completed items. */
export function completedLines(lines: readonly TraceLine[]): TraceLine[] {
  return lines.filter(({ event, fields }) => event === 'item-changed' && fields.change === COMPLETED);
}
