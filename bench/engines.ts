/** What watching engines costs a node without traffic: bytes and questions a second, at the replicas of one node. */

import { Cluster } from '../emulator/cluster.js';
import { monotonicMs, sleep } from '../src/common/clock.js';
import { printFigures } from './report.js';

const SIZES = [6, 30];
const SETTLE_MS = 3_000;
const MEASURE_MS = 10_000;

/** Runs the benchmark. */
export async function benchEngines(): Promise<void> {
  const rows = [];
  for (const engines of SIZES) {
    const cluster = new Cluster({ nodes: 1, engines, applications: 0, zones: ['zone-a'], stalenessBound: 1 });
    await cluster.start();
    await sleep(SETTLE_MS);
    const bytes = () => cluster.engines.reduce((sum, engine) => sum + engine.trafficBytes(), 0);
    const questions = () => cluster.engines.reduce((sum, engine) => sum + engine.stateQuestions, 0);
    const before = { bytes: bytes(), questions: questions(), at: monotonicMs() };
    await sleep(MEASURE_MS);
    const seconds = (monotonicMs() - before.at) / 1_000;
    rows.push({
      engines,
      'questions a second': (questions() - before.questions) / seconds,
      'bytes a second': (bytes() - before.bytes) / seconds,
    });
    await cluster.stop();
  }
  printFigures('engines', rows);
}
