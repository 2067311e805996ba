import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { ConditionVariable } from '../../../src/common/condition-variable.js';
import {
  type FeedHandler,
  type FeedObserver,
  RecordFeed,
} from '../../../src/coordination/feeds/record-feed.js';
import {
  type ChangedRecord,
  type RecordStore,
  RecordStoreError,
} from '../../../src/protocol/record-store.js';
import { until } from '../../support/wait.js';

/** A table with a new change at each request. */
class BusyStore {
  requests = 0;

  async changes(table: string, after: number) {
    this.requests += 1;
    await setImmediate();
    const version = after + 1;
    const change: ChangedRecord = { table, partition: '', key: 'key', value: Buffer.from(''), version };
    return ok({ changes: [change], version });
  }
}

/** A store that loses the answer of one long poll, and has no changes. */
class ForgetfulStore {
  readonly waitsMs: number[] = [];

  async changes(_table: string, after: number, waitMs: number) {
    this.waitsMs.push(waitMs);
    await setImmediate();
    return this.waitsMs.length === 2
      ? err(new RecordStoreError('unavailable', 'none', 'the answer was lost'))
      : ok({ changes: [], version: after });
  }
}

const OBSERVER: FeedObserver = { answered: () => {}, changed: () => {} };

describe('RecordFeed', () => {
  let store: BusyStore;
  let applied: number;
  let controller: AbortController;

  beforeEach(() => {
    store = new BusyStore();
    applied = 0;
    controller = new AbortController();
  });

  afterEach(() => controller.abort());

  const handler: FeedHandler<undefined> = {
    table: 'table',
    readAll: async () => ok({ content: undefined, version: 0 }),
    replaceAll: () => {},
    apply: () => {
      applied += 1;
    },
  };

  it('starts the next long poll after changes only when the pause is over', async () => {
    const pauseIsOver = new ConditionVariable();
    const pause = (signal: AbortSignal) => pauseIsOver.wait(signal);
    const feed = new RecordFeed(store as unknown as RecordStore, handler, OBSERVER, pause);
    void feed.run(controller.signal);
    for (let expected = 1; expected <= 3; expected += 1) {
      await until('the change is applied', () => applied === expected);
      expect(store.requests).to.equal(expected);
      pauseIsOver.notifyAll();
    }
  });

  it('asks for an answer at once after a lost one, so that its age is not that of two long polls', async () => {
    const forgetful = new ForgetfulStore();
    const feed = new RecordFeed(forgetful as unknown as RecordStore, handler, OBSERVER);
    void feed.run(controller.signal);
    await until('a long poll has followed', () => forgetful.waitsMs.length >= 4);
    const [first, lost, retry, next] = forgetful.waitsMs;
    expect([first, retry]).to.deep.equal([0, 0]);
    expect(lost).to.equal(next);
    expect(next).to.be.greaterThan(0);
  });
});
