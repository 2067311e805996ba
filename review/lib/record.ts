/** The record of one run of a case: what was sent, answered and run, in the order of time. */
import { writeFileSync } from 'node:fs';

const startedAtMs = performance.now();
const lines: string[] = [];

/** Milliseconds since the start of the script. */
export function nowMs(): number {
  return performance.now() - startedAtMs;
}

/** Adds a line with its time. */
export function record(text: string): void {
  lines.push(`${(nowMs() / 1_000).toFixed(3).padStart(8)} ${text}`);
}

/** Writes the record into `folder`. */
export function writeRecord(folder: string): void {
  writeFileSync(`${folder}/record.txt`, `${lines.join('\n')}\n`);
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

/** Waits until `condition` holds; throws after `timeoutMs`. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<void> {
  const endsAtMs = nowMs() + timeoutMs;
  while (!(await condition())) {
    if (nowMs() > endsAtMs) throw new Error(`not within ${timeoutMs} ms: ${what}`);
    await sleep(10);
  }
}
