/**
 * What must stay as it is whatever becomes of the code inside: names and forms that operators, callers, replicas, the store, other
 * nodes and stored rows rely on. All of it is seen from outside: processes, HTTP, rows, log lines, metrics, files. Prose is free.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { expect } from 'chai';
import { EMULATOR_TOKENS } from '../../emulator/cluster.js';
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import * as names from '../../platform/names.js';
import { parseSettingsFile } from '../../platform/settings-file.js';
import { checkSettings, DEFAULT_TIMING, SettingsSchema } from '../../src/node/resource/settings.js';
import { wholeText } from '../support/jobs.js';
import { runCli } from '../support/processes.js';
import { MODEL, type ServiceNodeProcess, ServiceSystem } from '../support/service-system.js';
import { tenantConfiguration } from '../support/tenants.js';
import { until } from '../support/wait.js';
import { runNodeProgram } from './node-program.js';
import { OwnScenario } from './own-scenario.js';
import { KEY, PlatformScenario, SERVING_NODES } from './platform-scenario.js';
import type { KeyForm, Survey } from './recorder.js';
import { filledIn, type KeptRow, loadRows } from './stored-rows.js';

const ROOT = resolve(import.meta.dirname, '../../..');
const FIXTURES = join(ROOT, 'test/contract/fixtures');

function fixture<T>(name: string): T {
  return JSON.parse(readFileSync(join(FIXTURES, `${name}.json`), 'utf8')) as T;
}

/** A value as JSON has it. */
function asJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

/** Every text and number in a value, in order; names of fields count for nothing. */
function leavesOf(value: unknown): string[] {
  if (value instanceof Map) return leavesOf([...value.entries()]);
  if (typeof value === 'object' && value !== null) return Object.values(value).flatMap(leavesOf).sort();
  return value === undefined ? [] : [String(value)];
}

describe('contract', () => {
  const platform = new PlatformScenario();
  const own = new OwnScenario();

  before(async () => {
    await Promise.all([platform.play(), own.play()]);
  });
  after(async () => {
    await Promise.all([platform.stop(), own.stop()]);
  });

  function expectForms(survey: Survey, name: string): void {
    expect(survey.differences(fixture<Record<string, KeyForm>>(name))).to.deep.equal([]);
  }

  describe('of what is stored', () => {
    it('keeps tables, partitions, keys and the fields of rows of the platform', () =>
      expectForms(platform.rows, 'platform-rows'));

    it('keeps tables, partitions, keys and the fields of rows of the own interface', () =>
      expectForms(own.rows, 'own-rows'));

    it('reads rows of the platform that were written before', async () => {
      const { rows, results } = fixture<{ platform: { rows: KeptRow[]; results: { id: string }[] } }>(
        'stored-rows',
      ).platform;
      const system = await ServiceSystem.start();
      try {
        system.configure(tenantConfiguration(2));
        system.nameVersion(2);
        system.trainer.key = KEY;
        await system.reportUsage(1_000, 2_000);
        loadRows(system.store, rows);
        const before = rows.find(({ key }) => key === 'job-2') as KeptRow;
        expect(before.table).to.equal('jobs');
        await system.addApplication();
        const engine = await system.addEngine({ events: 20, models: { [MODEL]: 2 } });
        const node = await system.addNode('node-2');
        await system.untilReady(node);
        await expectJobsRead(system, node, results, engine);
        await expectFatalRunsRead(system, rows);
        await expectDutiesRead(system, rows, engine);
      } finally {
        await system.stop();
      }
    });

    /** A finished job is listed as it was; one that was under way goes on from the texts that were kept. */
    async function expectJobsRead(
      system: ServiceSystem,
      node: ServiceNodeProcess,
      results: readonly { id: string }[],
      engine: ReplicaServer,
    ): Promise<void> {
      const finished = await system.trainer.readAll([node.url], 'job-1', results.length);
      expect(finished).to.deep.equal(results);
      const item = await system.trainer.item(node.url, 'job-1', 'job-1-item-0');
      expect(item).to.deep.equal({ status: 200, body: 'prompt' });
      const resumed = await system.trainer.readAll([node.url], 'job-2', 2);
      for (const { id, text } of resumed) expect(text, id).to.equal(wholeText(id, 20));
      const kept = fixture<{ platform: { rows: KeptRow[] } }>('stored-rows').platform.rows;
      for (const { key, text } of kept.filter(({ table }) => table === 'job-texts')) {
        const run = engine.received.find(({ id }) => key === `job-2/${id}`);
        expect(run?.lastEventId, key).to.equal((JSON.parse(text) as { lastEventId: string }).lastEventId);
      }
    }

    async function expectFatalRunsRead(system: ServiceSystem, rows: readonly KeptRow[]): Promise<void> {
      const announced = system.store.rows.read<{ peerAddress: string }>(SERVING_NODES, 'node-2');
      const answer = await fetch(`http://${announced?.peerAddress}/fatal-runs`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ reports: [] }),
      });
      const { reports } = (await answer.json()) as { reports: { key: string; value: string }[] };
      for (const { key, text } of rows.filter(({ part }) => part === 'fatal-runs')) {
        const report = reports.find((one) => one.key === key);
        expect(report?.value.split('\n')[0], key).to.equal(text.split('\n')[0]);
      }
    }

    /** The fence of a duty grows over its stored holder; a decision that was not reported is reported as it was. */
    async function expectDutiesRead(
      system: ServiceSystem,
      rows: readonly KeptRow[],
      engine: ReplicaServer,
    ): Promise<void> {
      const stored = rows.find(({ table }) => table === 'usage-reports') as KeptRow;
      const { counts } = JSON.parse(stored.text) as { counts: object };
      const first = await until('usage is reported', () => system.usage.reports[0]);
      expect(first.counts).to.deep.equal(counts);
      expect(first.fence).to.be.greaterThan(1);
      system.nameVersion(3);
      const order = await until('an order is given', () => engine.orders[0]);
      expect(order.fence).to.be.greaterThan(1);
    }

    it('reads rows of the own interface that were written before', async () => {
      const { rows, objects, batch } = fixture<{
        own: { rows: KeptRow[]; objects: Record<string, string>; batch: object };
      }>('stored-rows').own;
      const next = new OwnScenario();
      try {
        await next.startStandIns();
        const addresses = { engine: next.engineAddress, application: next.applicationAddress };
        loadRows(next.platform.store, rows, addresses);
        for (const [name, body] of Object.entries(objects))
          await fetch(`${next.platformAddress}${names.STORE_PATH.putObject}${encodeURIComponent(name)}`, {
            method: 'PUT',
            body,
          });
        await next.startNode();
        const { operator, trainer } = EMULATOR_TOKENS;
        for (const { key, text } of rows.filter((row) => row.key.startsWith('config/resource/'))) {
          const { d: resource } = JSON.parse(filledIn(text, addresses)) as { d: object };
          const { body } = await next.call(
            'GET',
            `/v1/resources/${key.slice('config/resource/'.length)}`,
            operator,
          );
          const { status: _status, ...served } = body as { status: unknown };
          expect(served, key).to.deep.equal(resource);
        }
        const { body: revision } = await next.call('GET', '/v1/revisions/2', operator);
        expect(revision).to.deep.include({ revision: 2, accepted: true });
        const path = '/v1/trainers/demo-trainer';
        const { body: progress } = await next.call('GET', `${path}/rollouts/first`, trainer);
        expect(progress).to.deep.include({ rolloutId: 'first', state: 'open', slots: 4, drawn: 4 });
        const again = { cursor: 1, sequence: 1_000, versions: { 'demo-model': 1 }, waitMs: 1_000 };
        const { body: drawn } = await next.call('POST', `${path}/draws`, trainer, again);
        expect(drawn).to.deep.equal(batch);
      } finally {
        await next.stop();
      }
    });
  });

  describe('of messages', () => {
    it('keeps the calls and answers between nodes, replicas and the store of the platform', () =>
      expectForms(platform.wire, 'platform-wire'));

    it('takes messages between nodes as they are written, and answers them', () =>
      expectForms(platform.answers, 'platform-answers'));

    it('gives the configuration to another node as the store has it', () =>
      expect(JSON.parse(platform.configuration?.fromPeer ?? '')).to.deep.equal(
        platform.configuration?.inStore,
      ));

    it('keeps the calls of the own node to back ends and the store', () => expectForms(own.wire, 'own-wire'));

    it('keeps the answers of the own interface', () => expectForms(own.answers, 'own-answers'));

    it('keeps the names of the platform', () => expect(asJson(names)).to.deep.equal(fixture('names')));
  });

  describe('of metrics', () => {
    type Metric = { type: string; labels: string[] };

    function metricsIn(text: string): Record<string, Metric> {
      const found: Record<string, Metric> = {};
      let current: Metric | undefined;
      for (const line of text.split('\n')) {
        const [, name, type] = /^# TYPE (\S+) (\S+)$/.exec(line) ?? [];
        if (name !== undefined && type !== undefined) {
          current = { type, labels: [] };
          found[name] = current;
        } else if (current && !line.startsWith('#'))
          current.labels.push(...[...line.matchAll(/[{,](\w+)="/g)].map(([, label]) => label as string));
      }
      for (const metric of Object.values(found)) metric.labels = [...new Set(metric.labels)].sort();
      return found;
    }

    /** Without samples nothing is known of labels; that may be so only where the fixture says it. */
    function expectMetrics(
      found: Record<string, Metric>,
      expected: Record<string, Metric & { mayBeEmpty?: boolean }>,
    ): void {
      expect(Object.keys(found).sort()).to.deep.equal(Object.keys(expected).sort());
      for (const [name, { type, labels, mayBeEmpty }] of Object.entries(expected)) {
        expect(found[name]?.type, name).to.equal(type);
        if (!mayBeEmpty || found[name]?.labels.length)
          expect(found[name]?.labels, name).to.deep.equal(labels);
      }
    }

    for (const [kind, text] of [
      ['platform', () => platform.metrics],
      ['own', () => own.metrics],
    ] as const)
      it(`keeps the names, types and labels of the ${kind} node`, () =>
        expectMetrics(metricsIn(text()), fixture(`${kind}-metrics`)));
  });

  describe('of the log', () => {
    interface LogFixture {
      readonly events: Record<string, { readonly always: string[]; readonly may: string[] }>;
      readonly seen: string[];
      readonly line: string[];
      readonly everyContext: string[];
    }
    const expected = fixture<LogFixture>('log-events');

    it('keeps the names of events', () => {
      const files = ['src', 'platform'].flatMap((folder) =>
        readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' })
          .filter((name) => name.endsWith('.ts'))
          .map((name) => join(ROOT, folder, name)),
      );
      const found = files.flatMap((file) =>
        [...readFileSync(file, 'utf8').matchAll(/\bevent: '([^']+)'/g)].map(([, event]) => event as string),
      );
      expect([...new Set(found)].sort()).to.deep.equal(Object.keys(expected.events).sort());
    });

    it('keeps the keys of lines', () => {
      const differences = new Set<string>();
      for (const line of platform.log) {
        expect(Object.keys(line).sort()).to.deep.equal(expected.line);
        const { always, may } = expected.events[line.message] ?? { always: [], may: [] };
        if (!(line.message in expected.events)) differences.add(`${line.message}: not known`);
        const required = [...always, ...expected.everyContext];
        const keys = Object.keys(line.context);
        for (const key of required)
          if (!keys.includes(key)) differences.add(`${line.message}.${key}: is missing`);
        for (const key of keys)
          if (!required.includes(key) && !may.includes(key))
            differences.add(`${line.message}.${key}: not known`);
      }
      expect([...differences]).to.deep.equal([]);
      expect(platform.log.map(({ message }) => message)).to.include.members(expected.seen);
    });
  });

  describe('of settings', () => {
    const settings = fixture<{
      readonly required: Record<string, string>;
      readonly optional: Record<string, string>;
      readonly defaults: string[];
      readonly filled: string[];
      readonly ownSchema: object;
      readonly ownTiming: object;
    }>('settings');
    const textOf = (fields: Readonly<Record<string, string>>) =>
      Object.entries(fields)
        .map(([key, value]) => `${key}=${value}\n`)
        .join('');

    it('keeps keys and defaults of the platform', () => {
      const { required, optional, defaults, filled } = settings;
      expect(leavesOf(parseSettingsFile(textOf(required))._unsafeUnwrap())).to.deep.equal(defaults);
      const whole = parseSettingsFile(textOf({ ...required, ...optional }))._unsafeUnwrap();
      expect(leavesOf(whole)).to.deep.equal(filled);
    });

    it('names a key of the platform that is missing', async () => {
      await Promise.all(
        Object.keys(settings.required).map(async (missing) => {
          const { [missing]: _left, ...rest } = settings.required;
          const result = await runNodeProgram(['--check-settings'], textOf(rest));
          expect(result.code, missing).to.equal(2);
          expect(result.stderr, missing).to.contain(missing);
        }),
      );
      expect((await runNodeProgram(['--check-settings'], textOf(settings.required))).code).to.equal(0);
      expect((await runNodeProgram(['--no-such-flag'], textOf(settings.required))).code).to.equal(2);
    });

    it('keeps keys and defaults of the own node', () => {
      const plain = JSON.parse(JSON.stringify(SettingsSchema), (key, value) =>
        key === 'description' && typeof value === 'string' ? undefined : value,
      );
      expect(plain).to.deep.equal(settings.ownSchema);
      expect(asJson(DEFAULT_TIMING)).to.deep.equal(settings.ownTiming);
      const problems = checkSettings({})._unsafeUnwrapErr();
      expect(JSON.stringify(problems)).to.match(/node.*listen.*platform.*access/);
    });
  });

  describe('of the command line', () => {
    const commands = fixture<Record<string, string[]>>('commands');

    it('keeps commands, arguments and options', async () => {
      const helpOf = async (args: string[]) => (await runCli([...args, '--help'])).stdout;
      const listed = [...(await helpOf([])).matchAll(/^- (\w+) - /gm)].map(([, name]) => name as string);
      expect(listed).to.deep.equal(Object.keys(commands));
      const helps = await Promise.all(listed.map((name) => helpOf([name])));
      for (const [index, name] of listed.entries()) {
        const words = [...(helps[index] ?? '').matchAll(/^ {2}(--[\w-]+(?:, -\w)?|<[\w ]+>|\[[\w ]+\])/gm)];
        expect(words.map(([, word]) => word as string).sort(), name).to.deep.equal(commands[name]);
      }
    });

    it('keeps exit codes', async () => {
      const { operator, caller } = EMULATOR_TOKENS;
      const codes = fixture<{ args: string[]; token: string; code: number }[]>('exit-codes');
      const found = codes.map(async ({ args, token }) => {
        const env = {
          THYMECOVE_SERVER: own.baseUrl,
          THYMECOVE_TOKEN: token === 'operator' ? operator : caller,
        };
        return { args, token, code: (await runCli(args, env)).code };
      });
      expect(await Promise.all(found)).to.deep.equal(codes);
    });
  });

  it('keeps the fields of resources', () => {
    const text = readFileSync(join(ROOT, 'docs/RESOURCES.md'), 'utf8');
    const found: Record<string, string[]> = {};
    for (const section of text.split('\n## ').slice(1)) {
      const kind = section.slice(0, section.indexOf('\n'));
      const rows = [...section.matchAll(/^\| `([^`]+)` \| (.*?) \| (yes|no) \|/gm)];
      found[kind] = rows.map(([, field, type, required]) => `${field}: ${type}, required: ${required}`);
    }
    expect(found).to.deep.equal(fixture('resources'));
  });

  it('keeps the text of deploy/system.toml', () =>
    expect(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')).to.equal(
      fixture<{ text: string }>('deployment').text,
    ));
});
