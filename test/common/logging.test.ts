/** Logs must stay bounded and never block the process; traces of requests are built from them. */
import { Writable } from 'node:stream';
import { expect } from 'chai';
import { parseLogLine, renderTrace, traceOf } from '../../src/cli/trace.js';
import { StandardOutputLogger } from '../../src/common/decision-logger.js';
import { LineWriter } from '../../src/common/line-writer.js';
import { LOOKUP_PATH, ServiceSystem } from '../support/service-system.js';
import { until } from '../support/wait.js';

/** A stream that accepts no data until `unblock` is called. */
class BlockedStream extends Writable {
  readonly written: string[] = [];
  private release: (() => void) | undefined;
  private isBlocked = true;

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.written.push(chunk.toString());
    if (this.isBlocked) this.release = done;
    else done();
  }

  unblock(): void {
    this.isBlocked = false;
    this.release?.();
  }
}

const record = (requestId: string) => ({
  event: 'item-changed' as const,
  requestId,
  jobId: 'job',
  group: 'group',
  change: 'completed',
  events: 1,
  versions: '1',
  attempts: 1,
  ageMs: 1,
});

describe('StandardOutputLogger and LineWriter', () => {
  it('drops and counts lines while the reader is blocked, and writes the rest when it reads again', async () => {
    const stream = new BlockedStream();
    const writer = new LineWriter(stream, 10_000);
    for (let index = 0; index < 1_000; index += 1) writer.write(`${'x'.repeat(95)}${index}`);
    expect(writer.dropped).to.be.greaterThan(800);
    const before = writer.dropped;
    stream.unblock();
    await until('the reader has read everything', () => stream.writableLength === 0);
    expect(writer.write('later')).to.equal(true);
    await writer.flush(1_000);
    expect(stream.written.join('')).to.contain('later');
    expect(stream.written.join('').trim().split('\n').length).to.equal(1_000 - before + 1);
  });

  it('suppresses and counts lines above the rate limit of their event, but not those of other events', async () => {
    const stream = new BlockedStream();
    stream.unblock();
    const logger = new StandardOutputLogger('node', new LineWriter(stream, 100_000_000));
    for (let index = 0; index < 5_000; index += 1) logger.record(record(`request-${index}`));
    logger.record({ event: 'process-changed', change: 'noticed' });
    await logger.close();
    const lines = stream.written.join('').trim().split('\n');
    expect(lines.filter((line) => line.includes('"item-changed"')).length).to.be.lessThan(1_000);
    expect(lines.some((line) => line.includes('noticed'))).to.equal(true);
    const summary = lines.map(parseLogLine).find((line) => line?.event === 'lines-left-out');
    const written = lines.filter((line) => line.includes('"message":"item-changed"')).length;
    expect(Number(summary?.fields.count) + written).to.equal(5_000);
  });

  it('does not delay a node whose log reader has stopped', async () => {
    const system = await ServiceSystem.start();
    try {
      await system.addApplication({ slots: 50 });
      const node = await system.addNode('node-1');
      await system.untilReady(node);
      node.child.stdout?.pause();
      for (let index = 0; index < 1_500; index += 1) {
        const answer = await system.lookup(node, `request-${index}`, {}, `${LOOKUP_PATH}${'y'.repeat(200)}`);
        expect(answer?.status).to.equal(200);
      }
      node.child.kill('SIGTERM');
      await until('the process has exited', () => node.child.exitCode === 0);
    } finally {
      await system.stop();
    }
  });
});

describe('traceOf', () => {
  const line = (timeMs: number, node: string, event: string, fields: object, sequence = 0) =>
    `  ${timeMs / 1000} ${node} ${JSON.stringify({
      time: timeMs,
      sequence: String(sequence),
      message: event,
      context: { node, logLevel: 30, ...fields },
    })}`;

  it('combines the lines of an item with the ownership changes of its job in order, and reports gaps', () => {
    const texts = [
      line(30, 'node-b', 'item-changed', { requestId: 'item', jobId: 'job', change: 'completed' }),
      line(10, 'node-a', 'job-changed', { jobId: 'job', change: 'running' }),
      line(20, 'node-a', 'attempt-ended', { requestId: 'item', jobId: 'job', outcome: 'broken' }),
      line(22, 'node-a', 'attempt-ended', { requestId: 'other', jobId: 'job', outcome: 'broken' }),
      line(25, 'node-b', 'job-changed', { jobId: 'job', change: 'claimed' }),
      line(26, 'node-b', 'lines-left-out', { kind: 'attempt-ended', count: 7 }),
      line(27, 'node-c', 'process-started', {}),
      'no log line',
      '{"broken',
    ];
    const trace = traceOf(
      'item',
      texts.flatMap((text) => parseLogLine(text) ?? []),
    );
    expect(trace.jobId).to.equal('job');
    expect(trace.lines.map((one) => one.timeMs)).to.deep.equal([10, 20, 25, 30]);
    expect(trace.gaps).to.deep.equal(['node-b, 16 ms: 7 lines of attempt-ended were left out']);
    expect(renderTrace(trace)).to.contain('item, of job job');
  });
});
