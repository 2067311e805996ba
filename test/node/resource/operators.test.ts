/** Operators: races, watches, and the command line over a tree of declarations. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { stringify } from 'yaml';
import { EMULATOR_TOKENS } from '../../../emulator/cluster.js';
import { runCli } from '../../support/processes.js';
import { type SystemNode, TestSystem } from '../../support/system.js';

const service = (name: string, spec: object = {}) => ({
  apiVersion: 'thymecove/v1',
  kind: 'Service',
  metadata: { name },
  spec: { type: 'application', repeatable: true, ...spec },
});

describe('operators', () => {
  const system = new TestSystem({ nodes: 2, applications: 1 });
  const folder = mkdtempSync(join(tmpdir(), 'thymecove-declarations-'));
  let first: SystemNode;
  let second: SystemNode;

  before(async () => {
    await system.start();
    [first, second] = system.nodes as [SystemNode, SystemNode];
  });
  after(async () => {
    await system.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  const cli = (...args: string[]) =>
    runCli(args, { THYMECOVE_SERVER: second.address, THYMECOVE_TOKEN: EMULATOR_TOKENS.operator });

  it('that race on one resource: one wins, the other gets 409 with both versions, and no update is lost', async () => {
    (await system.operator(first).put(service('raced') as never))._unsafeUnwrap();
    const seen = (await system.operator(first).get('Service', 'raced'))._unsafeUnwrap().metadata
      .resourceVersion;
    const change = (node: SystemNode, timeoutMs: number) =>
      system.operator(node).put(service('raced', { limits: { timeoutMs } }) as never, seen);
    const answers = await Promise.all([change(first, 111), change(second, 222)]);
    expect(answers.filter((answer) => answer.isOk())).to.have.length(1);
    const lost = answers.find((answer) => answer.isErr());
    const winner = answers.find((answer) => answer.isOk())?._unsafeUnwrap();
    const current = winner?.metadata.resourceVersion;
    expect(lost?._unsafeUnwrapErr().detail).to.deep.include({
      code: 'conflict',
      versions: { expected: seen, current },
    });
    const stored = (await system.operator(second).get('Service', 'raced'))._unsafeUnwrap();
    expect(stored.spec).to.deep.equal(winner?.spec);
  });

  it('read at any node what another one accepted', async () => {
    for (let change = 0; change < 25; change += 1) {
      const name = `accepted-${change}`;
      (await system.operator(first).put(service(name) as never))._unsafeUnwrap();
      const [read, listed] = await Promise.all([
        system.operator(second).get('Service', name),
        system.operator(second).list('Service'),
      ]);
      expect(read.isOk(), name).to.equal(true);
      expect(listed._unsafeUnwrap().items.map(({ metadata }) => metadata.name)).to.include(name);
    }
  });

  it('that patch different fields at once keep both changes', async () => {
    (await system.operator(first).put(service('patched') as never))._unsafeUnwrap();
    const patches = Array.from({ length: 8 }, (_, index) =>
      system
        .operator(index % 2 ? first : second)
        .patch('Service', 'patched', { metadata: { labels: { [`l${index}`]: 'x' } } }),
    );
    for (const answer of await Promise.all(patches)) expect(answer.isOk()).to.equal(true);
    const stored = (await system.operator(first).get('Service', 'patched'))._unsafeUnwrap();
    expect(Object.keys(stored.metadata.labels as object)).to.have.length(8);
  });

  it('receive changes by a watch, and watch-expired when their version is too old', async () => {
    const stop = new AbortController();
    const lines: { type: string; name?: string }[] = [];
    const from = (await system.operator(second).list('Service'))._unsafeUnwrap().resourceVersion;
    const watching = system.operator(second).watch(
      'Service',
      from,
      (line) => {
        lines.push(JSON.parse(line));
        if (lines.some((one) => one.type === 'DELETE')) stop.abort();
      },
      stop.signal,
    );
    (await system.operator(first).put(service('watched') as never))._unsafeUnwrap();
    (await system.operator(first).remove('Service', 'watched'))._unsafeUnwrap();
    await watching;
    const seen = lines.filter((one) => one.name === 'watched').map((one) => one.type);
    expect(seen).to.deep.equal(['PUT', 'DELETE']);
  });

  it('apply a tree: the second time changes nothing, and prune deletes only what the set declared', async () => {
    const write = (name: string, ...documents: object[]) =>
      writeFileSync(join(folder, name), documents.map((one) => stringify(one)).join('---\n'));
    write('a.yaml', service('tree-a'), service('tree-b'));
    const apply = ['apply', '-f', folder, '--set', 'tree', '--source', 'rev-1', '--wait', '-o', 'json'];
    const created = await cli(...apply);
    expect(created.code, created.stderr).to.equal(0);
    expect(created.stderr).to.contain('in force on 2 of 2 nodes');
    const actions = (text: string) =>
      (JSON.parse(text) as { name: string; action: string }[]).map((one) => `${one.action} ${one.name}`);
    expect(actions(created.stdout)).to.deep.equal(['create tree-a', 'create tree-b']);
    const before = (await system.operator(first).list('Service'))._unsafeUnwrap().resourceVersion;
    const repeated = await cli(...apply);
    expect(actions(repeated.stdout)).to.deep.equal(['unchanged tree-a', 'unchanged tree-b']);
    expect((await system.operator(first).list('Service'))._unsafeUnwrap().resourceVersion).to.equal(before);
    write('a.yaml', service('tree-a', { limits: { timeoutMs: 500 } }));
    const diff = await cli('diff', '-f', folder, '--set', 'tree', '--prune');
    expect(diff.code).to.equal(6);
    expect(diff.stdout).to.contain('spec.limits');
    const dry = await cli('apply', '-f', folder, '--set', 'tree', '--prune', '--dry-run');
    expect(dry.code).to.equal(0);
    expect((await system.operator(first).list('Service'))._unsafeUnwrap().resourceVersion).to.equal(before);
    const pruned = await cli(
      'apply',
      '-f',
      folder,
      '--set',
      'tree',
      '--prune',
      '--source',
      'rev-2',
      '-o',
      'json',
    );
    expect(actions(pruned.stdout)).to.deep.equal(['update tree-a', 'delete tree-b']);
    const left = (await system.operator(first).list('Service'))
      ._unsafeUnwrap()
      .items.map((one) => one.metadata);
    expect(left.map((one) => one.name))
      .to.include('demo-app')
      .and.not.to.include('tree-b');
    expect(left.find((one) => one.name === 'tree-a')?.source).to.equal('rev-2');
  });

  it('keep a drain that a command set when the tree is applied again', async () => {
    const backend = (await system.operator(first).get('Backend', 'app-0'))._unsafeUnwrap();
    const { draining: _draining, ...spec } = backend.spec;
    writeFileSync(
      join(folder, 'a.yaml'),
      stringify({ ...service('x'), kind: 'Backend', metadata: { name: 'app-0' }, spec }),
    );
    expect((await cli('drain', 'app-0', '--reason', 'kernel update')).code).to.equal(0);
    expect((await cli('apply', '-f', folder, '--set', 'tree')).code).to.equal(0);
    const shown = await cli('describe', 'Backend', 'app-0');
    expect(shown.stdout).to.contain('kernel update');
    const explained = await cli('explain', 'backend/app-0');
    expect(explained.stdout).to.contain('no (draining: kernel update)');
    expect((await cli('drain', 'app-0', '--undo')).code).to.equal(0);
  });

  it('get bad declarations reported by file and field, with exit code 2 and nothing sent', async () => {
    writeFileSync(
      join(folder, 'a.yaml'),
      stringify(service('bad', { repeatable: 'yes', limits: { maxInFlight: 0 }, colour: 1 })),
    );
    const bad = await cli('apply', '-f', folder);
    expect(bad.code).to.equal(2);
    expect(bad.stdout).to.equal('');
    for (const field of ['spec.repeatable', 'spec.limits.maxInFlight', 'spec.colour'])
      expect(bad.stderr).to.contain(field);
    expect((await cli('validate', '-f', folder)).code).to.equal(2);
    expect((await cli('get', 'Service', 'absent')).code).to.equal(4);
    expect((await runCli(['get', 'Service', '--server', 'http://127.0.0.1:9'])).code).to.equal(5);
  });
});
