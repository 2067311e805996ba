/** Bundles the node of an earlier commit of this repository, with the packages that are installed now. */
import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';

const ROOT = resolve(import.meta.dirname, '../../..');
const SOURCES = ['package.json', 'tsconfig.json', 'src', 'platform', 'deploy'];

/** A bundled program. */
export interface OlderBuild {
  readonly program: string;
  remove(): void;
}

/** Whether the history that is here has a commit; a shallow clone may lack it. */
export function isInHistory(commit: string): boolean {
  try {
    execFileSync('git', ['cat-file', '-e', `${commit}^{commit}`], { cwd: ROOT, stdio: 'ignore' });
    return true;
  } catch {
    return false;
  }
}

/** Bundles as `deploy/build.mjs` does. */
export async function buildOlder(commit: string): Promise<OlderBuild> {
  const folder = mkdtempSync(join(tmpdir(), 'older-build-'));
  const archive = join(folder, 'sources.tar');
  execFileSync('git', ['archive', '--output', archive, commit, ...SOURCES], { cwd: ROOT });
  execFileSync('tar', ['-xf', archive, '-C', folder]);
  const program = join(folder, 'node.cjs');
  await build({
    absWorkingDir: folder,
    entryPoints: ['platform/main.ts'],
    outfile: program,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    nodePaths: [join(ROOT, 'node_modules')],
    plugins: [
      {
        name: 'small-undici',
        setup: ({ onResolve }) =>
          onResolve({ filter: /^undici$/ }, () => ({ path: join(folder, 'deploy/undici-client.cjs') })),
      },
    ],
    logLevel: 'warning',
  });
  return { program, remove: () => rmSync(folder, { recursive: true, force: true }) };
}
