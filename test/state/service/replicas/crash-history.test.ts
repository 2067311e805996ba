/** Which requests are held back after replicas have ended, and which are not. */
import { expect } from 'chai';
import {
  CRASH_EXPIRY_MS,
  type Crash,
  CrashHistory,
} from '../../../../src/state/service/replicas/crash-history.js';
import {
  parseCrashReport,
  toCrashRecord,
  toServedRecord,
} from '../../../../src/state/service/replicas/crash-record.js';

const SHORT_HOLD_MS = 4_000;

describe('requests under which replicas have ended', () => {
  let runs: CrashHistory;

  beforeEach(() => {
    runs = new CrashHistory();
  });

  const end = (address: string, endedAtMs: number, ...digests: string[]) => {
    for (const digest of digests) runs.note({ digest, address, endedAtMs });
  };

  it('may run on one replica at a time after the first end', () => {
    end('a', 0, 'fatal', 'other');
    expect(runs.judge('fatal', 1)).to.deep.equal({ kind: 'suspected', ends: 1 });
    expect(runs.judge('unknown', 1)).to.deep.equal({ kind: 'clear' });
  });

  it('are held for a short time after two ends that they alone have in common', () => {
    end('a', 0, 'fatal', 'other');
    end('b', 100, 'fatal', 'another');
    expect(runs.judge('fatal', 200)).to.deep.equal({
      kind: 'held',
      ends: 2,
      retryAfterMs: SHORT_HOLD_MS - 100,
    });
    expect(runs.judge('other', 200).kind).to.equal('suspected');
    expect(runs.judge('fatal', SHORT_HOLD_MS + 100).kind).to.equal('suspected');
  });

  it('may run on while another one ran at the same two ends', () => {
    end('a', 0, 'fatal', 'other');
    end('b', 100, 'fatal', 'other');
    for (const digest of ['fatal', 'other'])
      expect(runs.judge(digest, 200).kind, digest).to.equal('suspected');
    end('c', 300, 'fatal');
    expect(runs.judge('fatal', 300)).to.deep.equal({
      kind: 'held',
      ends: 3,
      retryAfterMs: CRASH_EXPIRY_MS,
    });
    expect(runs.judge('other', 300).kind).to.equal('suspected');
  });

  it('count an end once, whoever reports it and under whatever name', () => {
    end('a', 0, 'fatal');
    end('a', 900, 'fatal');
    expect(runs.judge('fatal', 1_000)).to.deep.equal({ kind: 'suspected', ends: 1 });
    end('a', 2_500, 'fatal');
    expect(runs.judge('fatal', 2_600).kind).to.equal('held');
  });

  it('are acquitted by an answer, also when it is heard of first', () => {
    for (const [at, address] of ['a', 'b', 'c'].entries()) end(address, at, 'popular', 'fatal');
    expect(runs.noteServed({ digest: 'popular', servedAtMs: 10 })).to.equal(true);
    expect(runs.judge('popular', 11)).to.deep.equal({ kind: 'clear' });
    expect(runs.judge('fatal', 11).kind).to.equal('held');
    end('d', 9, 'popular');
    expect(runs.judge('popular', 11)).to.deep.equal({ kind: 'clear' });
    end('e', 12, 'popular');
    expect(runs.judge('popular', 13)).to.deep.equal({ kind: 'suspected', ends: 1 });
    expect(runs.noteServed({ digest: 'unknown', servedAtMs: 10 })).to.equal(false);
  });

  it('are forgotten in the end', () => {
    for (const address of ['a', 'b', 'c']) end(address, 0, 'fatal');
    runs.forgetBefore(1);
    expect(runs.judge('fatal', 1)).to.deep.equal({ kind: 'clear' });
    expect(runs.size).to.equal(0);
  });

  it('take bounded memory, the newest are kept', () => {
    const count = 10_000;
    for (let index = 0; index < count; index += 1) end(`address-${index}`, index, `request-${index}`);
    expect(runs.size).to.be.at.most(5_000);
    expect(runs.judge(`request-${count - 1}`, count).kind).to.equal('suspected');
  });

  it('come back from their records as they were', () => {
    const run: Crash = { digest: '0a1b', address: '127.0.0.1:80', endedAtMs: 1_234 };
    const { key, value } = toCrashRecord(run, 'replica-1');
    expect(parseCrashReport({ key, value })).to.deep.equal({ kind: 'ended', run });
    expect(() => JSON.parse(value.toString('utf8'))).to.throw();
    const served = { digest: '0a1b', servedAtMs: 1_235 };
    expect(parseCrashReport(toServedRecord(served))).to.deep.equal({ kind: 'served', run: served });
    for (const other of ['', 'x', 'x\n', 'x\ny', '{"state":"open"}'])
      expect(parseCrashReport({ key, value: Buffer.from(other) }), other).to.equal(undefined);
    expect(parseCrashReport({ key, value: undefined })).to.equal(undefined);
  });
});
