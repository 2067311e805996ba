/** What one log line costs in processor time: records written to a stream that takes everything. */

import { Writable } from 'node:stream';
import { StandardOutputLogger } from '../src/common/decision-logger.js';
import { LineWriter } from '../src/common/line-writer.js';
import { median } from '../src/common/statistics.js';

const ROUNDS = 60;
const WARM_UP_ROUNDS = 10;
/** Lines of a round: within the budget of a new logger for one kind. */
const LINES = 380;

function writeRound(): number {
  const sink = new Writable({ write: (_chunk, _encoding, done) => done() });
  const logger = new StandardOutputLogger('bench', new LineWriter(sink));
  const before = process.cpuUsage();
  for (let index = 0; index < LINES; index += 1)
    logger.record({
      event: 'attempt-ended',
      requestId: `request-${index}`,
      jobId: 'job-1',
      group: 'group-1',
      service: 'service',
      replica: 'i-0123456789',
      outcome: 'whole',
      detail: '18 events',
      tookMs: 812,
      inFlight: 7,
      configVersion: 12,
    });
  const used = process.cpuUsage(before);
  void logger.close();
  return (used.user + used.system) / LINES;
}

/** Prints the median of all rounds, microseconds a line. */
export async function benchLogging(): Promise<void> {
  const costs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round += 1) {
    const cost = writeRound();
    if (round >= WARM_UP_ROUNDS) costs.push(cost);
  }
  const microsecondsPerLine = Number(median(costs).toFixed(2));
  process.stdout.write(`${JSON.stringify({ lines: ROUNDS * LINES, microsecondsPerLine })}\n`);
}
