import { expect } from 'chai';
import { importBreaches, importCircle } from '../../scripts/layer-rules.js';

const source = (path: string, ...imports: string[]) => ({
  path,
  text: imports.map((target) => `import { something } from '${target}';`).join('\n'),
});

describe('the rules of imports', () => {
  it('allow a room to import the rooms before it and the layers below, through their index', () => {
    const file = source(
      'src/coordination/jobs/job-run.ts',
      './item-run.js',
      '../samples/index.js',
      '../coordination-error.js',
      '../../state/jobs/index.js',
      '../../common/clock.js',
    );
    expect(importBreaches(file)).to.deep.equal([]);
  });

  it('find a room that imports one after it', () => {
    const file = source('src/coordination/samples/placement.ts', '../jobs/index.js');
    expect(importBreaches(file)).to.deep.equal([
      'src/coordination/samples/placement.ts: src/coordination/samples must not import src/coordination/jobs, which comes after it',
    ]);
  });

  it('find an import past the index of a room, also from outside the product', () => {
    for (const path of ['src/node/node.ts', 'src/coordination/jobs/job-run.ts', 'platform/ingress.ts']) {
      const target = path.startsWith('platform')
        ? '../src/state'
        : path.includes('jobs')
          ? '../../state'
          : '../state';
      expect(importBreaches(source(path, `${target}/jobs/job-record.js`))).to.deep.equal([
        `${path}: src/state/jobs is entered through its index`,
      ]);
    }
  });

  it('find a layer that imports one above it, and the adapter', () => {
    expect(
      importBreaches(source('src/state/jobs/job-record.ts', '../../coordination/jobs/index.js')),
    ).to.have.length(1);
    expect(
      importBreaches(source('src/cli/commands/node.ts', '../../../platform/store-factory.js')),
    ).to.deep.equal(['src/cli/commands/node.ts: src/cli must not import platform']);
  });

  it('find a folder that is not a room', () => {
    expect(importBreaches(source('src/node/node.ts', '../state/attic/index.js'))).to.deep.equal([
      'src/state/attic/index.ts: src/state has no room attic',
    ]);
  });

  it('find a circle of imports', () => {
    const [a, b, c] = ['src/state/jobs/a.ts', 'src/state/jobs/b.ts', 'src/state/jobs/c.ts'];
    const circle = importCircle([source(a, './b.js'), source(b, './c.js'), source(c, './b.js')]);
    expect(circle).to.deep.equal([b, c]);
    expect(importCircle([source(a, './b.js'), source(b, './c.js')])).to.equal(undefined);
  });
});
