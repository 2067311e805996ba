/** What the kernel says of a process; Linux only. */
import { readdirSync, readFileSync } from 'node:fs';

const KILOBYTE = 1024;

/** Largest resident memory of a process so far, bytes. */
export function peakMemoryBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * KILOBYTE;
}

/** Open descriptors of a process. */
export function openDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
