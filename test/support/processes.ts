/** Real processes for the integration tests. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';

const dist = resolve(import.meta.dirname, '../..');
const CLI = join(dist, 'platform/command-line.js');
const EMULATOR = join(dist, 'emulator/main.js');

/** A process that has said that it is ready. */
export interface ReadyProcess {
  readonly child: ChildProcess;
  /** What its ready line says. */
  readonly ready: Record<string, unknown>;
  /** Lines of its standard error. */
  readonly log: string[];
}

/** What a finished command left. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const started = new Set<ChildProcess>();

function spawnScript(
  script: string,
  args: readonly string[],
  env: Record<string, string> = {},
): ChildProcess {
  const child = spawn(process.execPath, [script, ...args], { env: { ...process.env, ...env } });
  started.add(child);
  child.once('exit', () => started.delete(child));
  return child;
}

async function startScript(script: string, args: readonly string[]): Promise<ReadyProcess> {
  const child = spawnScript(script, args);
  const log: string[] = [];
  createInterface({ input: child.stderr as NodeJS.ReadableStream }).on('line', (line) => log.push(line));
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  const first = await Promise.race([once(lines, 'line'), once(child, 'exit')]);
  if (typeof first[0] !== 'string')
    throw new Error(`${script} ${args.join(' ')} ended early:\n${log.join('\n')}`);
  return { child, ready: JSON.parse(first[0]) as Record<string, unknown>, log };
}

/** Starts a node. */
export function startNode(args: readonly string[]): Promise<ReadyProcess> {
  return startScript(CLI, ['node', ...args]);
}

/** Starts a part of the emulator. */
export function startEmulator(args: readonly string[]): Promise<ReadyProcess> {
  return startScript(EMULATOR, args);
}

/** Runs a command of the command line to its end. */
export async function runCli(
  args: readonly string[],
  env: Record<string, string> = {},
): Promise<CommandResult> {
  const child = spawnScript(CLI, args, env);
  let stdout = '';
  let stderr = '';
  child.stdout?.on('data', (chunk) => {
    stdout += chunk;
  });
  child.stderr?.on('data', (chunk) => {
    stderr += chunk;
  });
  const [code] = (await once(child, 'close')) as [number | null];
  return { code: code ?? -1, stdout, stderr };
}

/** Kills a process and waits for its end. */
export async function killProcess(target: ReadyProcess, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
  if (target.child.exitCode !== null || target.child.signalCode !== null) return;
  const ended = once(target.child, 'exit');
  target.child.kill(signal);
  await ended;
}

/** Kills whatever the tests left running. */
export function killAllProcesses(): void {
  for (const child of started) child.kill('SIGKILL');
}
