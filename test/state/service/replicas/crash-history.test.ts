/** Tests of the quarantine of requests after replica crashes, and of crash records. */
import { expect } from 'chai';
import {
  CRASH_EXPIRY_MS,
  type Crash,
  CrashHistory,
  toJobWorkDigest,
} from '../../../../src/state/service/replicas/crash-history.js';
import {
  parseCrashReport,
  toAnswerRecord,
  toCrashRecord,
} from '../../../../src/state/service/replicas/crash-record.js';

const SHORT_QUARANTINE_MS = 4_000;

describe('CrashHistory', () => {
  let history: CrashHistory;

  beforeEach(() => {
    history = new CrashHistory();
  });

  const crash = (address: string, endedAtMs: number, ...digests: string[]) => {
    for (const digest of digests) history.recordCrash({ digest, address, endedAtMs });
  };

  it('makes a request a suspect after its first crash', () => {
    crash('a', 0, 'fatal', 'other');
    expect(history.verdictOf('fatal', 1)).to.deep.equal({ kind: 'suspected', ends: 1 });
    expect(history.verdictOf('unknown', 1)).to.deep.equal({ kind: 'clear' });
  });

  it('quarantines the only common suspect of two crashes for the short period', () => {
    crash('a', 0, 'fatal', 'other');
    crash('b', 100, 'fatal', 'another');
    expect(history.verdictOf('fatal', 200)).to.deep.equal({
      kind: 'held',
      ends: 2,
      retryAfterMs: SHORT_QUARANTINE_MS - 100,
    });
    expect(history.verdictOf('other', 200).kind).to.equal('suspected');
    expect(history.verdictOf('fatal', SHORT_QUARANTINE_MS + 100).kind).to.equal('suspected');
  });

  it('does not quarantine a request after two crashes that share another suspect', () => {
    crash('a', 0, 'fatal', 'other');
    crash('b', 100, 'fatal', 'other');
    for (const digest of ['fatal', 'other'])
      expect(history.verdictOf(digest, 200).kind, digest).to.equal('suspected');
    crash('c', 300, 'fatal');
    expect(history.verdictOf('fatal', 300)).to.deep.equal({
      kind: 'held',
      ends: 3,
      retryAfterMs: CRASH_EXPIRY_MS,
    });
    expect(history.verdictOf('other', 300).kind).to.equal('suspected');
  });

  it('never quarantines work of jobs, however many replicas crashed or how the clocks of nodes differ', () => {
    for (const address of ['a', 'b', 'c', 'd']) crash(address, 100, toJobWorkDigest('item'));
    expect(history.verdictOf(toJobWorkDigest('item'), 0)).to.deep.equal({ kind: 'suspected', ends: 4 });
    expect(history.verdictOf('item', 0).kind).to.equal('clear');
  });

  it('does not make a request the only suspect when work of jobs ran beside it', () => {
    crash('a', 0, 'lookup', toJobWorkDigest('item'));
    crash('b', 100, 'lookup', toJobWorkDigest('item'));
    expect(history.verdictOf('lookup', 200)).to.deep.equal({ kind: 'suspected', ends: 2 });
  });

  it('counts repeated reports of one crash once', () => {
    crash('a', 0, 'fatal');
    crash('a', 900, 'fatal');
    expect(history.verdictOf('fatal', 1_000)).to.deep.equal({ kind: 'suspected', ends: 1 });
    crash('a', 2_500, 'fatal');
    expect(history.verdictOf('fatal', 2_600).kind).to.equal('held');
  });

  it('clears a request when it is answered, even if the answer is reported before the crash', () => {
    for (const [at, address] of ['a', 'b', 'c'].entries()) crash(address, at, 'popular', 'fatal');
    expect(history.recordAnswer({ digest: 'popular', servedAtMs: 10 })).to.equal(true);
    expect(history.verdictOf('popular', 11)).to.deep.equal({ kind: 'clear' });
    expect(history.verdictOf('fatal', 11).kind).to.equal('held');
    crash('d', 9, 'popular');
    expect(history.verdictOf('popular', 11)).to.deep.equal({ kind: 'clear' });
    crash('e', 12, 'popular');
    expect(history.verdictOf('popular', 13)).to.deep.equal({ kind: 'suspected', ends: 1 });
    expect(history.recordAnswer({ digest: 'unknown', servedAtMs: 10 })).to.equal(false);
  });

  it('removes expired crashes', () => {
    for (const address of ['a', 'b', 'c']) crash(address, 0, 'fatal');
    history.expireBefore(1);
    expect(history.verdictOf('fatal', 1)).to.deep.equal({ kind: 'clear' });
    expect(history.size).to.equal(0);
  });

  it('keeps a bounded number of requests, the newest ones', () => {
    const count = 10_000;
    for (let index = 0; index < count; index += 1) crash(`address-${index}`, index, `request-${index}`);
    expect(history.size).to.be.at.most(5_000);
    expect(history.verdictOf(`request-${count - 1}`, count).kind).to.equal('suspected');
  });

  it('decodes its records and rejects other values', () => {
    const report: Crash = { digest: '0a1b', address: '127.0.0.1:80', endedAtMs: 1_234 };
    const { key, value } = toCrashRecord(report, 'replica-1');
    expect(parseCrashReport({ key, value })).to.deep.equal({ kind: 'ended', run: report });
    expect(() => JSON.parse(value.toString('utf8'))).to.throw();
    const served = { digest: '0a1b', servedAtMs: 1_235 };
    expect(parseCrashReport(toAnswerRecord(served))).to.deep.equal({ kind: 'served', run: served });
    for (const other of ['', 'x', 'x\n', 'x\ny', '{"state":"open"}'])
      expect(parseCrashReport({ key, value: Buffer.from(other) }), other).to.equal(undefined);
    expect(parseCrashReport({ key, value: undefined })).to.equal(undefined);
  });
});
