/**
 * Reconstructs the timelines of jobs from log lines. Times are in milliseconds since the job was accepted
 * unless noted. Attempts that are missing from the logs are not counted.
 */
import { MILLISECONDS_PER_SECOND } from '../common/clock.js';
import { groupBy } from '../common/collections.js';
import { median } from '../common/statistics.js';
import {
  type Attempt,
  attemptsByItem,
  completedLines,
  completeGroups,
  DECLINED,
  type ItemTimeline,
  itemsOf,
} from './item-timeline.js';
import type { TraceLine } from './trace.js';

/** Fractions of a job's items, or of its wanted groups, whose completion time is reported. */
export const MILESTONES = [0.5, 0.9, 0.97, 1] as const;

/** A job whose `job-planned` line is in the logs. */
interface PlannedJob {
  readonly jobId: string;
  readonly lines: readonly TraceLine[];
  readonly plan: TraceLine;
  readonly owners: number;
  /** Time of day. */
  readonly acceptedAtMs: number;
}

/** A published weight version as one node logged it. */
interface LoggedVersion {
  readonly model: string;
  readonly version: number;
  /** Time of day. */
  readonly timeMs: number;
}

export interface JobTimeline {
  readonly jobId: string;
  readonly model: string;
  /** Time of day on the clock of the first owner. */
  readonly acceptedAtMs: number;
  readonly items: number;
  /** Number of complete groups that the submitter waits for. */
  readonly wantedGroups: number;
  readonly slots: number;
  /** Number of times that a node took ownership of the job. */
  readonly owners: number;
  /** Groups carried over unfinished from an earlier job; the submitter waits for all of them. */
  readonly carriedGroups: number;
  /** Attempts that a replica declined. */
  readonly declined: number;
  readonly firstStartMs: number | undefined;
  readonly lastStartMs: number | undefined;
  /** When each fraction in `MILESTONES` of the items was listed. */
  readonly itemsListedMs: readonly (number | undefined)[];
  /** When each fraction in `MILESTONES` of the wanted groups was complete. */
  readonly groupsWholeMs: readonly (number | undefined)[];
  /** When the submitter ended the job. The trainer is counted as idle until then. */
  readonly endedMs: number | undefined;
  /** The item that completed the last wanted group. */
  readonly lastWanted: ItemTimeline | undefined;
  /** Mean number of attempts in flight in each second, without declined ones. */
  readonly inFlight: readonly number[];
  /** `inFlight` by replica. */
  readonly inFlightByReplica: Readonly<Record<string, readonly number[]>>;
  /** Mean number of versions between a sample's oldest version and the newest one at its completion. */
  readonly staleness: number;
}

/** Aggregate over the jobs of one model. */
export interface TrainerTimeline {
  readonly model: string;
  readonly jobs: number;
  /** Median time from acceptance to the completion of the last wanted group. */
  readonly medianWantedMs: number;
  /** Median time from acceptance to the end of the job. */
  readonly medianIdleMs: number;
  readonly totalIdleMs: number;
  readonly staleness: number;
}

export interface Timeline {
  readonly jobs: readonly JobTimeline[];
  readonly trainers: readonly TrainerTimeline[];
}

/** Builds the timelines of all jobs in the logs, in order of acceptance. */
export function timelineOf(unordered: readonly TraceLine[]): Timeline {
  const lines = [...unordered].sort(
    (left, right) => left.timeMs - right.timeMs || left.sequence - right.sequence,
  );
  const named = loggedVersions(lines);
  const seenItems = new Set<string>();
  const jobs = [...groupBy(lines, (line) => line.fields.jobId)]
    .flatMap(([jobId, ofJob]) => (jobId === undefined ? [] : plannedJob(String(jobId), ofJob)))
    .sort((left, right) => left.acceptedAtMs - right.acceptedAtMs)
    .map((planned) => jobOf(planned, named, seenItems));
  const trainers = [...groupBy(jobs, (job) => job.model)].map(([model, own]) => trainerOf(model, own));
  return { jobs, trainers };
}

/** Published weight versions; each occurs once for every node that logged it. */
function loggedVersions(lines: readonly TraceLine[]): LoggedVersion[] {
  return lines
    .filter((line) => line.event === 'belief-changed' && line.fields.subject === 'weight-version')
    .map(({ fields, timeMs }) => ({ model: String(fields.name), version: Number(fields.version), timeMs }));
}

/** Empty if the job's `job-planned` line is missing. */
function plannedJob(jobId: string, lines: readonly TraceLine[]): PlannedJob[] {
  const plans = lines.filter((line) => line.event === 'job-planned');
  const plan = plans[0];
  if (!plan) return [];
  return [
    { jobId, lines, plan, owners: plans.length, acceptedAtMs: plan.timeMs - Number(plan.fields.ageMs) },
  ];
}

/** `seenItems` holds the item IDs of earlier jobs; those of this job are added. */
function jobOf(
  { jobId, lines, plan, owners, acceptedAtMs }: PlannedJob,
  named: readonly LoggedVersion[],
  seenItems: Set<string>,
): JobTimeline {
  const model = String(plan.fields.model);
  const total = Number(plan.fields.items);
  const wantedGroups = Number(plan.fields.wantedGroups);
  const attempts = attemptsByItem(lines, acceptedAtMs);
  const all = [...attempts.values()].flat();
  const runs = all.filter(({ outcome }) => outcome !== DECLINED);
  const starts = runs.map(({ startMs }) => startMs);
  const items = itemsOf(lines, acceptedAtMs, attempts);
  const carried = new Set(items.filter(({ id }) => seenItems.has(id)).map(({ group }) => group));
  for (const id of attempts.keys()) seenItems.add(id);
  const complete = completeGroups(items, Number(plan.fields.groupSize), wantedGroups, carried);
  const ended = lines.find(({ fields }) => fields.call === 'end' && fields.outcome === 'ended');
  return {
    jobId,
    model,
    acceptedAtMs,
    items: total,
    wantedGroups,
    slots: Number(plan.fields.slots),
    owners,
    carriedGroups: carried.size,
    declined: all.length - runs.length,
    firstStartMs: starts.length > 0 ? Math.min(...starts) : undefined,
    lastStartMs: starts.length > 0 ? Math.max(...starts) : undefined,
    itemsListedMs: milestonesOf(items, total),
    groupsWholeMs: milestonesOf(complete, wantedGroups),
    endedMs: ended && ended.timeMs - acceptedAtMs,
    lastWanted: complete[wantedGroups - 1],
    inFlight: inFlightBySecond(runs),
    inFlightByReplica: Object.fromEntries(
      [...groupBy(runs, ({ replica }) => replica)].map(([replica, own]) => [replica, inFlightBySecond(own)]),
    ),
    staleness: mean(completedLines(lines).map((line) => stalenessOf(line, model, named))),
  };
}

function milestonesOf(items: readonly ItemTimeline[], total: number): (number | undefined)[] {
  const sorted = items.map(({ listedMs }) => listedMs).sort((left, right) => left - right);
  return MILESTONES.map((share) => sorted[Math.ceil(total * share) - 1]);
}

function inFlightBySecond(attempts: readonly Attempt[]): number[] {
  const endMs = Math.max(0, ...attempts.map((attempt) => attempt.endMs));
  return Array.from({ length: Math.ceil(endMs / MILLISECONDS_PER_SECOND) }, (_, second) => {
    const fromMs = second * MILLISECONDS_PER_SECOND;
    const busyMs = attempts.reduce(
      (sum, attempt) =>
        sum +
        Math.max(
          0,
          Math.min(attempt.endMs, fromMs + MILLISECONDS_PER_SECOND) - Math.max(attempt.startMs, fromMs),
        ),
      0,
    );
    return Math.round(busyMs / MILLISECONDS_PER_SECOND);
  });
}

function stalenessOf(line: TraceLine, model: string, named: readonly LoggedVersion[]): number {
  const oldest = Number(String(line.fields.versions).split(',')[0]);
  const newest = Math.max(
    oldest,
    ...named
      .filter((entry) => entry.model === model && entry.timeMs <= line.timeMs)
      .map(({ version }) => version),
  );
  return newest - oldest;
}

function trainerOf(model: string, jobs: readonly JobTimeline[]): TrainerTimeline {
  const defined = (values: readonly (number | undefined)[]) => values.filter((value) => value !== undefined);
  const idle = defined(jobs.map((job) => job.endedMs));
  return {
    model,
    jobs: jobs.length,
    medianWantedMs: medianOrZero(defined(jobs.map((job) => job.groupsWholeMs.at(-1)))),
    medianIdleMs: medianOrZero(idle),
    totalIdleMs: idle.reduce((sum, value) => sum + value, 0),
    staleness: mean(jobs.map((job) => job.staleness)),
  };
}

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function medianOrZero(values: readonly number[]): number {
  return values.length === 0 ? 0 : median(values);
}
