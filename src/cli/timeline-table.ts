/** Renders timelines as tables for the terminal. Times are in milliseconds. */
import type { ItemTimeline } from './item-timeline.js';
import { type JobTimeline, MILESTONES, type Timeline, type TrainerTimeline } from './job-timeline.js';
import { formatTable } from './output.js';

const UNKNOWN = '-';
const PERCENT = 100;
const ID_LENGTH = 8;

const PERCENTS = MILESTONES.map((part) => `${part * PERCENT}%`);
const JOB_HEAD = [
  'job',
  'first start',
  'last start',
  ...PERCENTS.map((percent) => `items ${percent}`),
  ...PERCENTS.map((percent) => `wanted ${percent}`),
  'ended',
  'declined',
  'owners',
  'carried',
  'stale',
];
const LAST_ITEM_HEAD = [
  'job',
  'last wanted item',
  'events',
  'queue',
  'declined',
  'broken',
  'run',
  'scoring',
  'listing',
];
const IN_FLIGHT_HEAD = ['job', 'slots', 'runs in flight by second'];
const TRAINER_HEAD = ['model', 'jobs', 'median wanted', 'median idle', 'total idle', 'stale'];

export function renderTimeline({ jobs, trainers }: Timeline): string {
  const lastRows = jobs.flatMap((job) => (job.lastWanted ? [lastRow(job, job.lastWanted)] : []));
  return [
    formatTable(JOB_HEAD, jobs.map(jobRow)),
    formatTable(LAST_ITEM_HEAD, lastRows),
    formatTable(
      IN_FLIGHT_HEAD,
      jobs.map((job) => [shortId(job), String(job.slots), job.inFlight.join(' ')]),
    ),
    formatTable(TRAINER_HEAD, trainers.map(trainerRow)),
  ].join('\n\n');
}

function jobRow(job: JobTimeline): string[] {
  return [
    shortId(job),
    formatMs(job.firstStartMs),
    formatMs(job.lastStartMs),
    ...job.itemsListedMs.map(formatMs),
    ...job.groupsWholeMs.map(formatMs),
    formatMs(job.endedMs),
    String(job.declined),
    String(job.owners),
    String(job.carriedGroups),
    job.staleness.toFixed(2),
  ];
}

function lastRow(job: JobTimeline, { id, events, waits }: ItemTimeline): string[] {
  const { queueMs, declinedMs, brokenMs, runMs, scoringMs, listingMs } = waits;
  const times = [queueMs, declinedMs, brokenMs, runMs, scoringMs, listingMs];
  return [shortId(job), id.slice(0, ID_LENGTH), String(events), ...times.map(formatMs)];
}

function trainerRow(trainer: TrainerTimeline): string[] {
  const times = [trainer.medianWantedMs, trainer.medianIdleMs, trainer.totalIdleMs];
  return [trainer.model, String(trainer.jobs), ...times.map(formatMs), trainer.staleness.toFixed(2)];
}

function shortId(job: JobTimeline): string {
  return job.jobId.slice(0, ID_LENGTH);
}

function formatMs(value: number | undefined): string {
  return value === undefined ? UNKNOWN : String(Math.round(value));
}
