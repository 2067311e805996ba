/** Trainer idle time and staleness of whole runs on the emulator, several seeds, variants taking turns. */

import { TrainerLoop, type TrainerReport } from '../emulator/clients/trainer-loop.js';
import { Cluster, EMULATOR_TOKENS } from '../emulator/cluster.js';
import { EMULATOR_MODEL, EMULATOR_TRAINER } from '../emulator/declarations.js';
import { median } from '../src/common/statistics.js';
import { printFigures } from './report.js';

const SEEDS = [1, 2, 3];
const STEPS = 5;
const STALENESS_BOUND = 2;

/** A way to run the trainer. */
interface Variant {
  readonly name: string;
  readonly concurrency: number;
  readonly shards: number;
}

const VARIANTS: readonly Variant[] = [
  { name: 'concurrency 32, 1 shard', concurrency: 32, shards: 1 },
  { name: 'concurrency 128, 1 shard', concurrency: 128, shards: 1 },
  { name: 'concurrency 64, 2 shards', concurrency: 64, shards: 2 },
];

async function runOnce(variant: Variant, seed: number): Promise<TrainerReport> {
  const cluster = new Cluster({
    nodes: 3,
    engines: 6,
    applications: 0,
    zones: ['zone-a', 'zone-b', 'zone-c'],
    stalenessBound: STALENESS_BOUND,
    trainer: { concurrency: variant.concurrency, shards: variant.shards, batchSize: 64 },
  });
  await cluster.start();
  const report = await new TrainerLoop({
    trainer: EMULATOR_TRAINER,
    token: EMULATOR_TOKENS.trainer,
    model: EMULATOR_MODEL,
    nodes: cluster.addresses,
    stalenessBound: STALENESS_BOUND,
    steps: STEPS,
    promptsPerStep: 32,
    samplesPerPrompt: 4,
    maxTokens: 400,
    seed,
    firstVersion: 1,
    trainMs: 300,
    timeoutMs: 180_000,
    runName: `bench-${seed}`,
  }).run();
  await cluster.stop();
  return report;
}

/** Runs the benchmark. */
export async function benchRollout(): Promise<void> {
  const reports = new Map<string, TrainerReport[]>(VARIANTS.map((variant) => [variant.name, []]));
  for (const seed of SEEDS) {
    for (const variant of VARIANTS) reports.get(variant.name)?.push(await runOnce(variant, seed));
  }
  const rows = VARIANTS.map(({ name }) => {
    const all = reports.get(name) ?? [];
    return {
      variant: name,
      'idle (ms)': median(all.map((one) => one.idleMs)),
      'total (ms)': median(all.map((one) => one.totalMs)),
      'idle share': median(all.map((one) => one.idleMs / one.totalMs)),
      'mean staleness': median(all.map((one) => one.meanStaleness)),
      'max staleness': Math.max(...all.map((one) => one.maxStaleness)),
      missing: all.reduce((sum, one) => sum + one.missing, 0),
      duplicates: all.reduce((sum, one) => sum + one.duplicates, 0),
    };
  });
  printFigures('rollout', rows);
}
