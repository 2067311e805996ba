/** Benchmarks: `npm run bench -- relay|control|engines|rollout`. Speeds live here, never in tests. */
import { configureLogging } from '../src/common/logging.js';
import { benchControl } from './control.js';
import { benchEngines } from './engines.js';
import { benchRelay } from './relay.js';
import { benchRollout } from './rollout.js';

const BENCHMARKS: Readonly<Record<string, () => Promise<void>>> = {
  relay: benchRelay,
  control: benchControl,
  engines: benchEngines,
  rollout: benchRollout,
};

configureLogging('silent');
const name = process.argv[2] ?? '';
const benchmark = BENCHMARKS[name];
if (!benchmark) {
  process.stderr.write(`usage: npm run bench -- ${Object.keys(BENCHMARKS).join('|')}\n`);
  process.exit(2);
}
await benchmark();
process.exit(0);
