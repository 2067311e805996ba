/** Bundles the node that serves a platform into one file under `target/`. */
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** Puts the small part of undici that the node uses in the place of the whole package. */
const smallUndici = {
  name: 'small-undici',
  setup(builder) {
    builder.onResolve({ filter: /^undici$/ }, () => ({ path: resolve('deploy/undici-client.cjs') }));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/thymecove-node.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  plugins: [smallUndici],
  logLevel: 'warning',
});
