/**
 * How the time of jobs was spent, from log lines. Times are milliseconds after the acceptance of the job
 * unless noted. Attempts that are missing from the logs are missing here as well.
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

/** Shares of a job's items, or of the groups that its submitter waits for, whose completion is reported. */
export const MILESTONES = [0.5, 0.9, 0.97, 1] as const;

/** The lines of a job. */
interface PlannedJob {
  readonly jobId: string;
  readonly lines: readonly TraceLine[];
  readonly plan: TraceLine;
  readonly owners: number;
  readonly acceptedAtMs: number;
}

/** A weight version, and when a node first logged it (time of day, milliseconds). */
interface LoggedVersion {
  readonly model: string;
  readonly version: number;
  readonly timeMs: number;
}

/** One job. */
export interface JobTimeline {
  readonly jobId: string;
  readonly model: string;
  /** Time of day of the acceptance on the owner's clock, milliseconds. */
  readonly acceptedAtMs: number;
  readonly items: number;
  readonly wantedGroups: number;
  readonly slots: number;
  /** Owners that the job had. */
  readonly owners: number;
  /** Groups that an earlier job left unfinished. The submitter waits for all of them. */
  readonly carriedGroups: number;
  readonly declined: number;
  readonly firstStartMs: number | undefined;
  readonly lastStartMs: number | undefined;
  /** When each of `MILESTONES` of the items was listed. */
  readonly itemsListedMs: readonly (number | undefined)[];
  /** When each of `MILESTONES` of the wanted groups was whole. */
  readonly groupsWholeMs: readonly (number | undefined)[];
  /** When the submitter ended the job; until then it had nothing new to train on. */
  readonly endedMs: number | undefined;
  /** The item that made the last wanted group whole. */
  readonly lastWanted: ItemTimeline | undefined;
  /** Mean number of runs in flight in each second. */
  readonly inFlight: readonly number[];
  /** The same by replica. */
  readonly inFlightByReplica: Readonly<Record<string, readonly number[]>>;
  /** Mean number of versions that a sample's oldest version was behind the newest one when it was done. */
  readonly staleness: number;
}

/** The jobs of one model. */
export interface TrainerTimeline {
  readonly model: string;
  readonly jobs: number;
  /** Median time from acceptance to the last wanted group, milliseconds. */
  readonly medianWantedMs: number;
  /** Median time from acceptance to the end of the job, milliseconds. */
  readonly medianIdleMs: number;
  readonly totalIdleMs: number;
  readonly staleness: number;
}

/** All jobs of the logs. */
export interface Timeline {
  readonly jobs: readonly JobTimeline[];
  readonly trainers: readonly TrainerTimeline[];
}

/** The jobs in the lines, in the order of their acceptance. */
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

/** Published weight versions, once for each node that logged them. */
function loggedVersions(lines: readonly TraceLine[]): LoggedVersion[] {
  return lines
    .filter((line) => line.event === 'belief-changed' && line.fields.subject === 'weight-version')
    .map(({ fields, timeMs }) => ({ model: String(fields.name), version: Number(fields.version), timeMs }));
}

/** A job with its lines, unless its plan is missing. */
function plannedJob(jobId: string, lines: readonly TraceLine[]): PlannedJob[] {
  const plans = lines.filter((line) => line.event === 'job-planned');
  const plan = plans[0];
  if (!plan) return [];
  return [
    { jobId, lines, plan, owners: plans.length, acceptedAtMs: plan.timeMs - Number(plan.fields.ageMs) },
  ];
}

/** `seenItems` are those of earlier jobs; those of this one are added. */
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

/** Mean number of attempts in flight in each second. */
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
