import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { ConditionVariable } from '../../../src/common/condition-variable.js';
import { applyEach } from '../../../src/coordination/feeds/apply-each.js';
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

  describe('with a handler that fails with one record', () => {
    let known: Set<string>;
    let failed: string[];
    let rejections: unknown[];
    const KEYS = ['first', 'odd', 'last'];
    const recordOf = (key: string, version: number) => ({
      table: 'table',
      partition: '',
      key,
      value: Buffer.from(''),
      version,
    });
    const onRejection = (cause: unknown) => rejections.push(cause);

    beforeEach(() => {
      known = new Set();
      failed = [];
      rejections = [];
      process.on('unhandledRejection', onRejection);
    });

    afterEach(() => process.off('unhandledRejection', onRejection));

    const observer: FeedObserver = {
      changed: () => {},
      failed: (table, key, problem, version) => failed.push(`${table} ${key} ${version}: ${problem}`),
    };

    const failingHandler: FeedHandler<readonly ChangedRecord[]> = {
      table: 'table',
      readAll: async () => ok({ content: KEYS.map((key) => recordOf(key, 1)), version: 1 }),
      replaceAll: (content) =>
        applyEach(
          content,
          ({ key }) => key,
          (record) => failingHandler.apply(record),
        ),
      apply: ({ key }) => {
        if (key === 'odd') throw new RangeError('it is odd');
        known.add(key);
      },
    };

    /** Answers a request for changes by the next of these; the last one stays. */
    function follow(answers: readonly (() => unknown)[], handler = failingHandler): void {
      let requests = 0;
      const changes = async () => {
        await setImmediate();
        requests += 1;
        return answers[Math.min(requests, answers.length) - 1]?.();
      };
      void new RecordFeed({ changes } as unknown as RecordStore, handler, observer).run(controller.signal);
    }

    const nothingNew = () => ok({ changes: [], version: 9 });

    it('applies the other records of a whole read and follows the changes', async () => {
      follow([() => ok({ changes: [recordOf('later', 2)], version: 2 }), nothingNew]);
      await until('the change is applied', () => known.has('later'));
      expect([...known]).to.deep.equal(['first', 'last', 'later']);
      expect(failed).to.deep.equal(['table odd 1: RangeError: it is odd']);
      expect(rejections).to.deep.equal([]);
    });

    it('applies the other changes of an answer and those of later ones', async () => {
      const change = (key: string, version: number) => ok({ changes: [recordOf(key, version)], version });
      const together = ['second', 'odd', 'third'].map((key) => recordOf(key, 2));
      follow([() => ok({ changes: together, version: 2 }), () => change('fourth', 3), nothingNew]);
      await until('the last change is applied', () => known.has('fourth'));
      expect([...known]).to.deep.equal(['first', 'last', 'second', 'third', 'fourth']);
      expect(failed.at(-1)).to.equal('table odd 2: RangeError: it is odd');
      expect(rejections).to.deep.equal([]);
    });

    it('applies the other records after the history is lost', async () => {
      const lost = () => err(new RecordStoreError('history-lost', 'none', 'lost'));
      let version = 1;
      follow([lost, () => ok({ changes: [recordOf('later', 8)], version: 8 }), nothingNew], {
        ...failingHandler,
        readAll: async () => {
          version += 1;
          return ok({ content: KEYS.map((key) => recordOf(key, version)), version });
        },
      });
      await until('the change is applied', () => known.has('later'));
      expect(failed).to.have.length(2);
      expect(rejections).to.deep.equal([]);
    });

    it('reads the table again after an exception of the store or of a read', async () => {
      const throws = () => {
        throw new TypeError('a row without a key');
      };
      let reads = 0;
      follow([throws, () => ok({ changes: [recordOf('later', 2)], version: 2 }), nothingNew], {
        ...failingHandler,
        readAll: async () => {
          reads += 1;
          if (reads === 2) throw new RangeError('too deep');
          return failingHandler.readAll();
        },
      });
      await until('the change is applied', () => known.has('later'));
      expect(failed).to.include.members([
        'table  1: TypeError: a row without a key',
        'table  1: RangeError: too deep',
      ]);
      expect(rejections).to.deep.equal([]);
    });
  });
});
