/** Frame of a case: runs it once, writes its record, and exits with 1 (rule broken), 0 (held) or 2 (no run). */
import { stopAll } from './deployment.js';
import { record, writeRecord } from './record.js';

/** Below the limit of 120 s for a script. */
const MAX_MS = 110_000;

export const hasTrouble = process.env.TROUBLE !== '0';

/** `play` resolves to what broke the rule; empty if it held. */
export async function runCase(folder: string, play: () => Promise<string[]>): Promise<never> {
  const finish = (code: number, verdict: string): never => {
    record(verdict);
    stopAll();
    writeRecord(folder);
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  };
  process.on('SIGTERM', () => finish(2, 'stopped'));
  process.on('SIGINT', () => finish(2, 'stopped'));
  process.on('uncaughtException', (cause) => finish(2, `not run: ${cause.stack}`));
  setTimeout(() => finish(2, 'not run: it took too long'), MAX_MS);
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    const breaches = await play();
    for (const breach of breaches.slice(0, 20)) record(`breach: ${breach}`);
    return finish(
      breaches.length > 0 ? 1 : 0,
      breaches.length > 0 ? `rule broken: ${breaches.length} breaches, first: ${breaches[0]}` : 'rule held',
    );
  } catch (cause) {
    return finish(2, `not run: ${(cause as Error).stack}`);
  }
}
