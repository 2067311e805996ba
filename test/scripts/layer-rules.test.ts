import { expect } from 'chai';
import { findImportCycle, importViolations } from '../../scripts/layer-rules.js';

const source = (path: string, ...imports: string[]) => ({
  path,
  text: imports.map((target) => `import { something } from '${target}';`).join('\n'),
});

describe('import rules', () => {
  it('allows a module to import earlier modules and lower layers through their index', () => {
    const file = source(
      'src/coordination/service/jobs/job-run.ts',
      './item-run.js',
      '../generation/index.js',
      '../../feeds/index.js',
      '../../../state/service/jobs/index.js',
      '../../../common/clock.js',
    );
    expect(importViolations(file)).to.deep.equal([]);
  });

  it('rejects an import of a later module', () => {
    const file = source('src/coordination/service/generation/placement.ts', '../jobs/index.js');
    expect(importViolations(file)).to.deep.equal([
      'src/coordination/service/generation/placement.ts: src/coordination/service/generation must not import src/coordination/service/jobs, which comes after it',
    ]);
  });

  it('rejects an import that bypasses the index of a module, also from outside the product', () => {
    for (const path of [
      'src/node/service/node.ts',
      'src/coordination/service/jobs/job-run.ts',
      'platform/ingress.ts',
    ]) {
      const target = path.startsWith('platform')
        ? '../src/state'
        : path.includes('jobs')
          ? '../../../state'
          : '../../state';
      expect(importViolations(source(path, `${target}/service/jobs/job-record.js`))).to.deep.equal([
        `${path}: src/state/service/jobs must be imported through its index`,
      ]);
    }
  });

  it('rejects imports of a higher layer and of the adapter', () => {
    expect(
      importViolations(
        source('src/state/service/jobs/job-record.ts', '../../../coordination/service/jobs/index.js'),
      ),
    ).to.have.length(1);
    expect(
      importViolations(source('src/cli/commands/node.ts', '../../../platform/store-factory.js')),
    ).to.deep.equal(['src/cli/commands/node.ts: src/cli must not import platform']);
  });

  it('rejects an import from a folder that is not a module', () => {
    expect(importViolations(source('src/node/service/node.ts', '../../state/attic/index.js'))).to.deep.equal([
      'src/state/attic/index.ts: src/state has no module attic',
    ]);
  });

  it('rejects imports between the interfaces, and of an interface by code that serves both', () => {
    const across = source('src/node/resource/node.ts', '../../state/service/jobs/index.js');
    expect(importViolations(across)).to.deep.equal([
      'src/node/resource/node.ts: the resource interface must not import the service interface',
    ]);
    const below = source('src/state/store/current-records.ts', '../../protocol/service/replica.js');
    expect(importViolations(below)).to.deep.equal([
      'src/state/store/current-records.ts: serves both interfaces and must not import src/protocol/service/replica.ts',
    ]);
    expect(importViolations(source('src/cli/trace.ts', '../protocol/service/replica.js'))).to.deep.equal([]);
  });

  it('finds an import cycle', () => {
    const [a, b, c] = ['src/state/jobs/a.ts', 'src/state/jobs/b.ts', 'src/state/jobs/c.ts'];
    const cycle = findImportCycle([source(a, './b.js'), source(b, './c.js'), source(c, './b.js')]);
    expect(cycle).to.deep.equal([b, c]);
    expect(findImportCycle([source(a, './b.js'), source(b, './c.js')])).to.equal(undefined);
  });
});
