/** Processor time of processes, as the kernel counts it. */
import { readFileSync } from 'node:fs';

/** Clock ticks in a second; 100 on every Linux that Node.js supports. */
const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Processor time that a process has used, microseconds. */
export function processorMicroseconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The fields after the command's closing bracket: user time is the 12th, system time the 13th.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks / TICKS_PER_SECOND) * MICROSECONDS_PER_SECOND;
}
