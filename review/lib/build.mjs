/** Bundles the script of each case, with the stand-ins that it uses, into one file under `review/build/`. */
import { existsSync } from 'node:fs';
import { build } from 'esbuild';

const cases = [1, 2, 3, 4, 5].filter((number) => existsSync(`review/${number}/case.ts`));
await build({
  entryPoints: Object.fromEntries(cases.map((number) => [`case-${number}`, `review/${number}/case.ts`])),
  outdir: 'review/build',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  logLevel: 'warning',
});
