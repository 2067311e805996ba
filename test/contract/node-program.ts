/** Runs the program that serves the platform to its end. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import type { CommandResult } from '../support/processes.js';
import { PROGRAM } from '../support/service-system.js';

/** Runs it with a settings file of this text. */
export async function runNodeProgram(args: readonly string[], settings: string): Promise<CommandResult> {
  const folder = mkdtempSync(join(tmpdir(), 'contract-settings-'));
  const file = join(folder, 'settings.conf');
  writeFileSync(file, settings);
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    env: { ...process.env, [SETTINGS_VARIABLE]: file },
  });
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk) => {
    stdout += chunk;
  });
  child.stderr.on('data', (chunk) => {
    stderr += chunk;
  });
  const [code] = (await once(child, 'close')) as [number | null];
  rmSync(folder, { recursive: true, force: true });
  return { code: code ?? -1, stdout, stderr };
}
