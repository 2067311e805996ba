/**
 * Benchmarks: `npm run bench -- relay|logging|soak`. Speeds live here, never in tests. The soak ends with
 * exit code 1 when it found a broken promise; a benchmark that cannot run ends with an uncaught error.
 */
import { configureLogging } from '../src/common/logging.js';
import { benchLogging } from './logging.js';
import { benchRelay } from './relay.js';
import { runSoak } from './soak/index.js';

const BENCHMARKS: Readonly<Record<string, (args: readonly string[]) => Promise<void>>> = {
  relay: benchRelay,
  logging: benchLogging,
  soak: async (args) => {
    if ((await runSoak(args)) > 0) process.exitCode = 1;
  },
};

configureLogging('silent');
const [name = '', ...args] = process.argv.slice(2);
const benchmark = BENCHMARKS[name];
if (!benchmark) {
  process.stderr.write(`usage: npm run bench -- ${Object.keys(BENCHMARKS).join('|')}\n`);
  process.exit(name === '--help' ? 0 : 2);
}
await benchmark(args);
process.exit();
