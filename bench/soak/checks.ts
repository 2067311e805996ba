/**
 * The promises, checked against the records of clients and stand-ins. Each check returns one line per breach.
 */
import { itemIds } from '../../emulator/clients/job-trainer.js';
import type { ReceivedOrder, ReceivedRequest } from '../../emulator/replica/replica-server.js';
import type { ReceivedReport } from '../../emulator/usage/usage-server.js';
import { groupBy } from '../../src/common/collections.js';
import { reportBreaches } from '../../test/support/tenants.js';
import type { FatalEnd, FaultSpan, History, JobHistory, LookupHistory } from './records.js';

/** Statuses that promise that nothing ran and nothing will. */
const PROMISES = new Set([408, 421, 429, 503]);
/** Time after the end of a job from which nothing of it may reach a replica, milliseconds. */
const END_BOUND_MS = 3_000;
/**
 * Crashes after which a request must be quarantined, time for that in milliseconds, and crashes allowed
 * later.
 */
const KNOWN_ENDS = 3;
const KNOWN_BOUND_MS = 3_000;
const LATE_ENDS = 3;
const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;

/** The records of the stand-ins. */
export interface Evidence {
  readonly received: readonly ReceivedRequest[];
  /** Load commands that each replica received. */
  readonly orders: readonly (readonly ReceivedOrder[])[];
  readonly reports: readonly ReceivedReport[];
  /** Names of the nodes that say that they sent a request to a replica. */
  readonly sendersOf: (requestId: string) => readonly string[];
  /** The text that an item must have. */
  readonly wholeText: (itemId: string) => string;
  /** Whether all events of an item must be of one weight version. */
  readonly isSingleVersion: boolean;
  /** Least time between the load commands of two leaders at one replica, milliseconds. */
  readonly apartMs: number;
}

/** All breaches. */
export function breaches(history: History, evidence: Evidence): string[] {
  const reached = new Set(evidence.received.map((request) => request.id));
  const begun = new Set(
    evidence.received.filter(({ beganAtMs }) => beganAtMs !== undefined).map(({ id }) => id),
  );
  return [
    ...history.jobs.flatMap((job) => [
      ...listingBreaches(job),
      ...resultBreaches(job, evidence),
      ...refusalBreaches(job, reached),
      ...endBreaches(job, evidence, history.faults),
    ]),
    ...history.lookups.flatMap((lookup) => lookupBreaches(lookup, begun)),
    ...fatalBreaches(history.fatalEnds),
    ...tenantBreaches(history.lookups, evidence.received),
    ...reportBreaches(evidence.reports, evidence.apartMs),
    ...missingReports(evidence.reports),
    ...evidence.orders.flatMap((orders) => orderBreaches(orders, evidence.apartMs)),
    ...sharedTokens(evidence.orders.flat()),
  ];
}

/** A position never changes, no item stands twice, an accepted job stays known. */
function listingBreaches({ job, positions, changed, denials }: JobHistory): string[] {
  const ids = [...positions.values()].map((result) => result.id);
  const own = new Set(itemIds(job));
  return [
    ...changed.map((position) => `${job.id}: position ${position} changed`),
    ...denials.map((status) => `${job.id}: ${status} after it was accepted`),
    ...ids.filter((id, at) => ids.indexOf(id) !== at).map((id) => `${job.id}: ${id} stands twice`),
    ...ids.filter((id) => !own.has(id)).map((id) => `${job.id}: ${id} belongs to another job`),
  ];
}

/** A result is completed, since no replica fails an item and no job gets old; with its whole text and its own score. */
function resultBreaches({ job, positions }: JobHistory, evidence: Evidence): string[] {
  return [...positions.values()].flatMap(({ id, state, text, score, versions }) => {
    if (state !== 'completed') return [`${id}: is ${state}, though nothing has failed it`];
    return [
      ...(text === evidence.wholeText(id) ? [] : [`${id}: the text is not whole`]),
      ...(score === `signed-${id}-score` ? [] : [`${id}: the score is not that of its call`]),
      ...versionBreaches(id, versions, job.minVersion, evidence.isSingleVersion),
    ];
  });
}

/** The versions of a text are those that its job and its route allow. */
function versionBreaches(
  id: string,
  versions: readonly number[],
  minVersion: number,
  isSingleVersion: boolean,
): string[] {
  if (versions.length === 0 || versions.some((version) => version < minVersion))
    return [`${id}: versions ${versions.join(',')}, allowed from ${minVersion}`];
  return isSingleVersion && versions.length > 1 ? [`${id}: versions ${versions.join(',')}, one allowed`] : [];
}

/** A job that was only ever refused does not run. */
function refusalBreaches({ job, statuses }: JobHistory, reached: ReadonlySet<string>): string[] {
  if (statuses.length === 0 || !statuses.every((status) => PROMISES.has(status))) return [];
  return itemIds(job)
    .filter((id) => reached.has(id))
    .map((id) => `${id}: ran although its job was only refused`);
}

/** Faults in which no node is in touch with the store, and faults that put the nodes they name out of touch. */
const OUTAGES = new Set(['store-silent', 'store-busy', 'store-reset']);
const CUTS = new Set([
  'node-freeze',
  'node-cut',
  'node-cut-silent',
  'node-answers-dropped',
  'nodes-turned-away',
  'peer-frozen-beside-stops',
]);

/** After its end no item of a job and no scoring call reaches a replica from a node in touch. */
function endBreaches(
  { job, endedAtMs }: JobHistory,
  { received, sendersOf }: Evidence,
  faults: readonly FaultSpan[],
): string[] {
  if (endedAtMs === undefined) return [];
  const own = new Set(itemIds(job).flatMap((id) => [id, `${id}-score`]));
  const late = received.filter((request) => own.has(request.id) && request.atMs > endedAtMs + END_BOUND_MS);
  return late
    .filter(({ id, atMs }) => !faults.some((span) => isOn(span, atMs) && explains(span, sendersOf(id))))
    .map(({ id }) => `${id}: reached a replica after the end of its job`);
}

/** Whether a fault was on at a moment or shortly before. */
function isOn({ fromMs, untilMs }: FaultSpan, atMs: number): boolean {
  return fromMs < atMs && atMs < untilMs + END_BOUND_MS;
}

/** Whether a fault put one of the senders out of touch, or might have if none is known. */
function explains({ kind, nodes = [] }: FaultSpan, senders: readonly string[]): boolean {
  if (OUTAGES.has(kind)) return true;
  return CUTS.has(kind) && (senders.length === 0 || senders.some((name) => nodes.includes(name)));
}

/** How much of a wrong answer is shown. */
const SHOWN_CHARACTERS = 40;

/**
 * An answer is that of the request, and a refused lookup did not run; a full replica may have declined it.
 */
function lookupBreaches({ id, status, body }: LookupHistory, begun: ReadonlySet<string>): string[] {
  if (status === STATUS_OK && body !== `answer to ${id}`)
    return [`${id}: answered with '${body.slice(0, SHOWN_CHARACTERS)}'`];
  if (PROMISES.has(status) && begun.has(id)) return [`${id}: ran although it was refused`];
  return [];
}

/**
 * A request that crashes replicas crashes three and a few more at once, and three later than that at most.
 */
function fatalBreaches(ends: readonly FatalEnd[]): string[] {
  return [...groupBy(ends, ({ body }) => body)].flatMap(([body, ofBody]) => {
    const times = ofBody.map(({ atMs }) => atMs).sort((left, right) => left - right);
    const thirdMs = times[KNOWN_ENDS - 1] ?? Number.POSITIVE_INFINITY;
    const late = times.filter((atMs) => atMs > thirdMs + KNOWN_BOUND_MS).length;
    return late > LATE_ENDS ? [`${body}: ended ${times.length} replicas, ${late} of them late`] : [];
  });
}

/**
 * A replica runs a lookup for the tenant of its key alone, never with a key, and never for a key that nobody
 * has.
 */
function tenantBreaches(lookups: readonly LookupHistory[], received: readonly ReceivedRequest[]): string[] {
  const tenants = new Map(lookups.map(({ id, tenant }) => [id, tenant]));
  return received.flatMap(({ id, tenant, authorization }) => {
    if (authorization !== undefined) return [`${id}: reached a replica with its key`];
    if (!tenants.has(id) || tenants.get(id) === tenant) return [];
    return [`${id}: ran for ${tenant}, not for ${tenants.get(id) ?? 'nobody'}`];
  });
}

/** Every window between the first and the last report is reported. */
function missingReports(reports: readonly ReceivedReport[]): string[] {
  const windows = new Set(reports.map(({ window }) => window));
  const first = Math.min(...windows);
  const missing: string[] = [];
  for (let window = first; window < Math.max(...windows); window += 1)
    if (!windows.has(window)) missing.push(`window ${window} was never reported`);
  return missing;
}

/** Requests by which reports differ from what replicas began to run, all windows and tenants together. */
export function usageErrors(
  reports: readonly ReceivedReport[],
  begun: ReadonlyMap<number, Readonly<Record<string, number>>>,
): number {
  const reported = new Map(reports.map(({ window, counts }) => [window, counts]));
  let wrong = 0;
  for (const [window, counts] of reported) {
    const truth = begun.get(window) ?? {};
    for (const tenant of new Set([...Object.keys(counts), ...Object.keys(truth)]))
      wrong += Math.abs((counts[tenant] ?? 0) - (truth[tenant] ?? 0));
  }
  return wrong;
}

/** Load commands of two leaders at one replica are apart by the lease time, and fencing tokens never fall. */
function orderBreaches(orders: readonly ReceivedOrder[], apartMs: number): string[] {
  const inOrder = [...orders].sort((left, right) => left.atMs - right.atMs);
  return inOrder.flatMap((order, at) => {
    const before = inOrder[at - 1];
    if (!before || before.holder === order.holder) return [];
    const found: string[] = [];
    const gapMs = order.atMs - before.atMs;
    if (gapMs < apartMs)
      found.push(`orders of ${before.holder} and ${order.holder} ${Math.round(gapMs)} ms apart`);
    if (order.fence <= before.fence) found.push(`fencing token ${order.fence} after ${before.fence}`);
    return found;
  });
}

/** No two leaders share a fencing token, at any replicas. */
function sharedTokens(orders: readonly ReceivedOrder[]): string[] {
  const byToken = groupBy(orders, ({ fence }) => fence);
  return [...byToken].flatMap(([fence, ofToken]) => {
    const holders = new Set(ofToken.map(({ holder }) => holder));
    return holders.size > 1 ? [`fencing token ${fence} of ${[...holders].join(' and ')}`] : [];
  });
}

/** Jobs that were accepted. */
export function acceptedJobs(history: History): JobHistory[] {
  return history.jobs.filter(({ statuses }) => statuses.includes(STATUS_ACCEPTED));
}
