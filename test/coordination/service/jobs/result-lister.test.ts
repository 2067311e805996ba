/** When results of a job are listed: together, so that a read waits at the node when the last one comes. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import {
  type ListerServices,
  ResultLister,
} from '../../../../src/coordination/service/jobs/result-lister.js';
import { DesiredGroups } from '../../../../src/coordination/service/jobs/wanted-groups.js';
import type { JobItem } from '../../../../src/protocol/service/batch-job.js';
import type { JobHead } from '../../../../src/state/service/jobs/job-record.js';
import { ManualClock } from '../../../support/manual-clock.js';

const DUE_MS = 7_500;
/** Longest time for which a result may wait for others, milliseconds. */
const LONGEST_MS = 1_000;
/** Time in which what must be listed at once is listed, milliseconds. */
const AT_ONCE_MS = 20;

describe('results of a job', () => {
  let clock: ManualClock;
  let lister: ResultLister;
  let controller: AbortController;
  let listings: string[][];
  let notListed: Set<string>;

  beforeEach(() => {
    clock = new ManualClock(() => 0.5);
    controller = new AbortController();
    listings = [];
    notListed = new Set();
    const contents = {
      fittingResults: (results: readonly string[]) => results.length,
      appendResults: async (_head: JobHead, _position: number, results: readonly string[]) => {
        listings.push(results.map((result) => (JSON.parse(result) as { id: string }).id));
        return ok(undefined);
      },
    };
    const services = {
      repository: { contents },
      cache: { append: () => {} },
      metrics: { listedSeconds: { observe: () => {} } },
      logger: { record: () => {} },
    } as unknown as ListerServices;
    const job = {
      head: { jobId: 'job-1', record: { epoch: 1 } } as unknown as JobHead,
      listedCount: 0,
      acceptedAtMs: 0,
      dueAgeMs: () => DUE_MS,
      onListed: (itemId: string) => notListed.delete(itemId),
    };
    lister = new ResultLister(services, job, controller.signal, clock);
    void lister.run(100);
  });

  afterEach(() => controller.abort());

  function add(id: string, isUrgent = false): void {
    notListed.add(id);
    lister.add({ id, state: 'completed', text: '', versions: [], score: undefined }, isUrgent);
  }

  it('wait for each other, but no longer than a read does', async () => {
    add('a');
    await clock.advance(LONGEST_MS / 2);
    add('b');
    await clock.advance(LONGEST_MS / 2 - 1);
    expect(listings).to.deep.equal([]);
    await clock.advance(2);
    expect(listings).to.deep.equal([['a', 'b']]);
    add('c');
    await clock.advance(LONGEST_MS - 1);
    expect(listings).to.have.length(1);
    await clock.advance(2);
    expect(listings).to.deep.equal([['a', 'b'], ['c']]);
  });

  it('are listed together with one that is urgent, at once', async () => {
    add('a');
    await clock.advance(100);
    add('b', true);
    await clock.advance(AT_ONCE_MS);
    expect(listings).to.deep.equal([['a', 'b']]);
  });

  it('are listed when they are due, and at once after that', async () => {
    await clock.advance(DUE_MS - 100);
    add('a');
    await clock.advance(101);
    expect(listings).to.deep.equal([['a']]);
    add('b');
    await clock.advance(AT_ONCE_MS);
    expect(listings).to.deep.equal([['a'], ['b']]);
  });

  it('are unlisted until the store has them', async () => {
    add('a');
    await clock.advance(LONGEST_MS - 1);
    expect([...notListed]).to.deep.equal(['a']);
    await clock.advance(2);
    expect([...notListed]).to.deep.equal([]);
  });
});

describe('groups that a submitter waits for', () => {
  const items = ['a', 'a', 'b', 'b', 'c', 'c'].map((group, index) => ({ id: `${index}`, group }) as JobItem);

  function whole(groups: DesiredGroups, ids: readonly number[]): boolean {
    for (const id of ids) groups.recordResult(items[id] as JobItem);
    return groups.areComplete;
  }

  it('are as many as it desires, any of them', () => {
    const groups = new DesiredGroups(items, 2, () => false);
    expect(whole(groups, [0, 2, 4, 1])).to.equal(false);
    expect(whole(groups, [5])).to.equal(true);
  });

  it('have those among them that an earlier job left unfinished', () => {
    const groups = new DesiredGroups(items, 2, ({ id }) => id === '4');
    expect(whole(groups, [0, 1, 2, 3])).to.equal(false);
    expect(whole(groups, [4, 5])).to.equal(true);
  });

  it('are all groups at most', () => {
    const groups = new DesiredGroups(items, 9, () => false);
    expect(whole(groups, [0, 1, 2, 3, 4])).to.equal(false);
    expect(whole(groups, [5])).to.equal(true);
  });
});
