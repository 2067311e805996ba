import { expect } from 'chai';
import { type JobTimeline, timelineOf } from '../../src/cli/job-timeline.js';
import { renderTimeline } from '../../src/cli/timeline-table.js';
import type { TraceLine } from '../../src/cli/trace.js';

const ACCEPTED_MS = 10_000;
const JOB = 'job-1';

let sequence = 0;

function line(atMs: number, event: string, fields: Record<string, string | number>): TraceLine {
  sequence += 1;
  return { timeMs: ACCEPTED_MS + atMs, node: 'node-1', sequence, event, fields: { jobId: JOB, ...fields } };
}

function planned(atMs: number): TraceLine {
  return line(atMs, 'job-planned', {
    model: 'm',
    minVersion: 1,
    items: 4,
    groupSize: 2,
    wantedGroups: 1,
    listed: 0,
    keptTexts: 0,
    slots: 8,
    fittingSlots: 8,
    ageMs: atMs,
  });
}

function attempt(item: string, replica: string, outcome: string, fromMs: number, toMs: number): TraceLine {
  return line(toMs, 'attempt-ended', {
    requestId: item,
    group: item[0] as string,
    replica,
    outcome,
    tookMs: toMs - fromMs,
  });
}

function completed(atMs: number, item: string, versions = '2'): TraceLine {
  return line(atMs, 'item-changed', {
    requestId: item,
    group: item[0] as string,
    change: 'completed',
    events: 5,
    versions,
  });
}

function listed(fromMs: number, toMs: number, count: number): TraceLine {
  return line(toMs, 'results-listed', { firstPosition: 0, count, outcome: 'listed', tookMs: toMs - fromMs });
}

/** Group a: one item is declined once, the other fails once. Group b: one item never completes. */
const LINES: readonly TraceLine[] = [
  planned(20),
  attempt('a1', 'r1', 'declined', 50, 60),
  attempt('a1', 'r2', 'whole', 100, 1_100),
  completed(1_150, 'a1'),
  listed(1_160, 1_170, 1),
  attempt('a2', 'r1', 'broken', 50, 1_050),
  attempt('a2', 'r2', 'whole', 1_250, 3_050),
  completed(3_100, 'a2', '1,2'),
  listed(3_110, 3_130, 1),
  attempt('b1', 'r1', 'whole', 1_100, 2_100),
  completed(2_200, 'b1'),
  listed(2_210, 2_220, 1),
  line(-100, 'belief-changed', { subject: 'weight-version', name: 'm', change: 'named', version: 2 }),
  line(4_000, 'job-call-answered', { call: 'end', outcome: 'ended' }),
];

function singleJob(lines: readonly TraceLine[]): JobTimeline {
  const { jobs } = timelineOf(lines);
  expect(jobs).to.have.length(1);
  return jobs[0] as JobTimeline;
}

describe('timelineOf', () => {
  it('keeps the published field names of the JSON output', () => {
    const { jobs, trainers } = timelineOf(LINES);
    expect(
      Object.keys(jobs[0] as object)
        .sort()
        .join(' '),
    ).to.equal(
      'acceptedAtMs carriedGroups declined endedMs firstStartMs groupsWholeMs inFlight inFlightByReplica items ' +
        'itemsListedMs jobId lastStartMs lastWanted model owners slots staleness wantedGroups',
    );
    expect(
      Object.keys(trainers[0] as object)
        .sort()
        .join(' '),
    ).to.equal('jobs medianIdleMs medianWantedMs model staleness totalIdleMs');
  });

  it('reports when each fraction of the items and of the wanted groups was complete', () => {
    const job = singleJob(LINES);
    expect(job.acceptedAtMs).to.equal(ACCEPTED_MS);
    expect([job.firstStartMs, job.lastStartMs]).to.deep.equal([50, 1_250]);
    expect(job.itemsListedMs).to.deep.equal([2_220, undefined, undefined, undefined]);
    expect(job.groupsWholeMs).to.deep.equal([3_130, 3_130, 3_130, 3_130]);
    expect([job.declined, job.owners, job.endedMs]).to.deep.equal([1, 1, 4_000]);
  });

  it('reports where the last item of the last wanted group spent its time', () => {
    expect(singleJob(LINES).lastWanted).to.deep.include({
      id: 'a2',
      waits: { queueMs: 250, declinedMs: 0, brokenMs: 1_000, runMs: 1_800, scoringMs: 50, listingMs: 30 },
    });
  });

  it('counts attempts in flight by second and by replica, without declined ones', () => {
    const job = singleJob(LINES);
    expect(job.inFlight).to.deep.equal([2, 2, 1, 0]);
    expect(job.inFlightByReplica.r1).to.deep.equal([1, 1, 0]);
  });

  it('reports the idle time of a trainer and the staleness of its samples', () => {
    const [trainer] = timelineOf(LINES).trainers;
    expect(trainer).to.deep.include({ model: 'm', jobs: 1, medianWantedMs: 3_130, medianIdleMs: 4_000 });
    expect(trainer?.staleness).to.be.closeTo(1 / 3, 1e-9);
  });

  it('counts groups carried over from an earlier job before other complete groups', () => {
    const later = LINES.filter(({ event }) => event !== 'belief-changed').map((entry) => ({
      ...entry,
      timeMs: entry.timeMs + 10_000,
      fields: { ...entry.fields, jobId: 'job-2' },
    }));
    const fresh = [attempt('c1', 'r1', 'whole', 50, 60), attempt('c2', 'r1', 'whole', 50, 60)];
    const [first, second] = timelineOf([
      ...LINES,
      ...[...later, ...fresh, completed(60, 'c1'), completed(60, 'c2'), listed(70, 80, 2)].map((entry) =>
        entry.fields.jobId === 'job-2'
          ? entry
          : { ...entry, timeMs: entry.timeMs + 10_000, fields: { ...entry.fields, jobId: 'job-2' } },
      ),
    ]).jobs;
    expect([first?.carriedGroups, second?.carriedGroups]).to.deep.equal([0, 2]);
    expect(second?.lastWanted?.group).to.equal('a');
  });

  it('uses the clock of the first owner if a job had several', () => {
    const job = singleJob([...LINES, planned(2_000)]);
    expect([job.owners, job.acceptedAtMs]).to.deep.equal([2, ACCEPTED_MS]);
  });

  it('omits jobs whose plan is not in the logs', () => {
    expect(timelineOf(LINES.filter(({ event }) => event !== 'job-planned')).jobs).to.deep.equal([]);
  });

  it('returns timelines that are rendered as tables', () => {
    const text = renderTimeline(timelineOf(LINES));
    expect(text).to.match(/^job-1\s+50\s+1250\s+2220\s+-\s+-\s+-\s+3130/m);
    expect(text).to.match(/^job-1\s+a2\s+5\s+250\s+0\s+1000\s+1800\s+50\s+30/m);
  });
});
