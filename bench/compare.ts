/**
 * Plays two versions of the project in pairs on the users' bench, day by day with the same seed, and prints the medians and an
 * interval of the differences, so that luck is not taken for progress. The older version is checked out below `target/`.
 *
 *   npm run bench -- compare --bench PATH --site FILE --against REV [--day NAME ...] [--seeds N]
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { Random } from '../src/common/random.js';
import { median } from '../src/common/statistics.js';

const FOLDER = 'target/compare';
const FIRST_SEED = 1_000;
const RESAMPLES = 2_000;
/** Part of the resampled medians that lies within the interval. */
const CONFIDENCE = 0.9;
const WORTH = /^\S+\s+\d+\/\d+\s+([\d.]+)\s+([\d.]+)/;

/** One day played by both versions. */
export interface Pair {
  readonly day: string;
  readonly seed: number;
  readonly before: number;
  readonly after: number;
}

/** What the pairs say of the difference, after less before. */
export interface Comparison {
  readonly pairs: number;
  readonly medianBefore: number;
  readonly medianAfter: number;
  readonly medianDifference: number;
  /** Interval of the median difference. */
  readonly from: number;
  readonly to: number;
}

/** Medians, and a bootstrap interval of the median difference; the same pairs give the same interval. */
export function compare(pairs: readonly Pair[]): Comparison {
  const differences = pairs.map(({ before, after }) => after - before);
  const random = new Random(FIRST_SEED);
  const resampled = Array.from({ length: RESAMPLES }, () =>
    median(differences.map(() => random.pick(differences))),
  );
  resampled.sort((left, right) => left - right);
  const at = (part: number) => resampled[Math.floor((RESAMPLES - 1) * part)] ?? Number.NaN;
  return {
    pairs: pairs.length,
    medianBefore: median(pairs.map(({ before }) => before)),
    medianAfter: median(pairs.map(({ after }) => after)),
    medianDifference: median(differences),
    from: at((1 - CONFIDENCE) / 2),
    to: at((1 + CONFIDENCE) / 2),
  };
}

/** The worth in the output of one played day, `undefined` when the day gave no figures. */
export function worthOf(output: string): number | undefined {
  for (const line of output.split('\n')) {
    const found = WORTH.exec(line);
    if (found) return Number(found[2]);
  }
  return undefined;
}

function checkOut(revision: string): string {
  const folder = resolve(FOLDER, revision);
  if (!existsSync(folder)) {
    execFileSync('git', ['clone', '--quiet', '.', folder]);
    execFileSync('git', ['-C', folder, 'checkout', '--quiet', revision]);
  }
  return folder;
}

function play(bench: string, site: string, day: string, seed: number, folder: string): number | undefined {
  const args = ['run', site, day, '--seed', String(seed), '--why', 'compare'];
  const { stdout } = spawnSync(bench, args, { cwd: folder, encoding: 'utf8', maxBuffer: 2 ** 28 });
  return worthOf(stdout);
}

/** Reads the arguments, plays, prints. */
export async function runCompare(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      bench: { type: 'string' },
      site: { type: 'string' },
      against: { type: 'string' },
      day: { type: 'string', multiple: true, default: ['quiet-1'] },
      seeds: { type: 'string', default: '5' },
    },
  });
  const { bench, site, against } = values;
  if (!bench || !site || !against) throw new Error('compare: --bench, --site and --against are needed');
  const folder = checkOut(execFileSync('git', ['rev-parse', against], { encoding: 'utf8' }).trim());
  const pairs: Pair[] = [];
  for (const day of values.day)
    for (let seed = FIRST_SEED; seed < FIRST_SEED + Number(values.seeds); seed += 1) {
      const before = play(resolve(bench), resolve(site), day, seed, folder);
      const after = play(resolve(bench), resolve(site), day, seed, '.');
      process.stdout.write(`${day} seed ${seed}: ${before ?? 'no figures'} ${after ?? 'no figures'}\n`);
      if (before !== undefined && after !== undefined) pairs.push({ day, seed, before, after });
    }
  process.stdout.write(`${JSON.stringify(compare(pairs))}\n`);
}
