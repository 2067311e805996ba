/**
 * Plays the days of `bench/days` on deployments with the users' bench and prints a table: score, broken rules, gate. The
 * bench is not part of this repository; its path is given.
 *
 *   npm run bench -- days --bench PATH --site FILE [--site FILE ...] [--only TEXT] [--jobs N]
 */
import { spawn } from 'node:child_process';
import { mkdirSync, readdirSync, writeFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { parseArgs } from 'node:util';

const DAYS_FOLDER = 'bench/days';
const DEFAULT_JOBS = '5';
/** Reports of the days are kept here. */
const REPORT_FOLDER = 'target/days';

interface DayResult {
  readonly site: string;
  readonly day: string;
  /** The line of figures, or what went wrong. */
  readonly figures: string;
  /** Lines that name broken rules, faults, or floors that were not reached. */
  readonly findings: readonly string[];
}

interface PlannedDay {
  readonly site: string;
  readonly file: string;
}

const FINDING = /BROKEN:|^rules broken|^short of the gate|^fault/;

function play(bench: string, planned: PlannedDay): Promise<DayResult> {
  const day = basename(planned.file, '.toml');
  const site = basename(planned.site, '.toml');
  return new Promise((resolve) => {
    const args = ['run', planned.site, planned.file, '--why', `bench/days: ${day}`];
    const child = spawn(bench, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    let output = '';
    child.stdout.on('data', (chunk) => {
      output += chunk;
    });
    child.stderr.on('data', (chunk) => {
      output += chunk;
    });
    child.on('close', () => {
      writeFileSync(join(REPORT_FOLDER, `${site}-${day}.txt`), output);
      resolve({ site, day, ...judge(output) });
    });
  });
}

/** Picks the figures and the findings out of a report. */
function judge(output: string): Pick<DayResult, 'figures' | 'findings'> {
  const lines = output.split('\n');
  const heading = lines.findIndex((line) => line.startsWith('day '));
  const figures = heading >= 0 ? (lines[heading + 1] ?? '') : 'no figures';
  const findings = lines.filter((line, index) => index !== heading && FINDING.test(line));
  return { figures, findings };
}

/** Plays all days, `jobs` at a time; resolves to the number of days with findings. */
export async function runDays(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      bench: { type: 'string' },
      site: { type: 'string', multiple: true },
      only: { type: 'string', default: '' },
      jobs: { type: 'string', default: DEFAULT_JOBS },
    },
  });
  const { bench } = values;
  if (!bench || !values.site) throw new Error('days: --bench PATH and --site FILE are needed');
  mkdirSync(REPORT_FOLDER, { recursive: true });
  const files = readdirSync(DAYS_FOLDER).filter((name) => name.includes(values.only));
  const queue = values.site.flatMap((site) => files.map((name) => ({ site, file: join(DAYS_FOLDER, name) })));
  let withFindings = 0;
  const work = async () => {
    for (let next = queue.shift(); next; next = queue.shift()) {
      const result = await play(bench, next);
      if (result.findings.length > 0) withFindings += 1;
      process.stdout.write(`${result.site.padEnd(16)} ${result.figures}\n`);
      for (const finding of result.findings) process.stdout.write(`    ${finding}\n`);
    }
  };
  await Promise.all(Array.from({ length: Number(values.jobs) }, work));
  process.stdout.write(`${withFindings} day(s) with findings\n`);
  return withFindings;
}
