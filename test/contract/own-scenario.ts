/**
 * A played day of a node with its own interface: declarations, completions, requests to an application, a trainer's rollout, a
 * new model version. What goes over the wire and into the store is surveyed.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';
import { ApplicationServer } from '../../emulator/application/application-server.js';
import { EMULATOR_TOKENS, emulatorSettings } from '../../emulator/cluster.js';
import {
  EMULATOR_APPLICATION,
  EMULATOR_MODEL,
  EMULATOR_MODEL_SERVICE,
  EMULATOR_TRAINER,
  emulatorDeclarations,
} from '../../emulator/declarations.js';
import { EngineServer } from '../../emulator/engine/engine-server.js';
import { PlatformServer } from '../../emulator/platform/platform-server.js';
import { killProcess, type ReadyProcess, startNode } from '../support/processes.js';
import { until } from '../support/wait.js';
import { jsonOf, normal, RequestRecorder, Survey } from './recorder.js';

const HOST = '127.0.0.1';
const TRAINER_PATH = `/v1/trainers/${EMULATOR_TRAINER}`;
const NEXT_VERSION = `${EMULATOR_MODEL}-v2`;
const TIMING = {
  freshnessMs: 1_500,
  holdMs: 200,
  nodeBeatMs: 150,
  nodeExpiryMs: 1_800,
  leaseMs: 1_200,
  enginePollMs: 100,
  machinePollMs: 100,
};

/** An answer of a node. */
export interface OwnAnswer {
  readonly status: number;
  readonly body: unknown;
}

interface Drawn {
  readonly attempt: number;
  readonly digest: string;
  readonly samples: readonly { readonly sampleId: string }[];
}

interface Status {
  readonly backends: readonly { readonly version?: number }[];
}

/** The data of each event of a stream. */
function eventsOf(stream: string): unknown[] {
  const lines = stream.split('\n').filter((line) => line.startsWith('data:'));
  return lines.map((line) => jsonOf(Buffer.from(line.slice('data:'.length).trim())));
}

/** One node with the platform's and the back ends' stand-ins in this process. */
export class OwnScenario {
  readonly rows = new Survey();
  readonly wire = new Survey();
  readonly answers = new Survey();
  readonly platform = new PlatformServer();
  metrics = '';
  platformAddress = '';
  engineAddress = '';
  applicationAddress = '';
  /** The batch that the trainer drew. */
  drawn: Drawn | undefined;
  onDrawn: () => Promise<void> = async () => {};
  private readonly recorder = new RequestRecorder();
  private readonly roles = new Map<number, string>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'contract-'));
  private readonly application = new ApplicationServer('app-0');
  private engine: EngineServer | undefined;
  private node: ReadyProcess | undefined;

  /** Starts the stand-ins; the node starts by itself, so that rows can be there before. */
  async startStandIns(): Promise<void> {
    this.recorder.start();
    this.platformAddress = await this.platform.start(HOST, 0);
    this.engine = new EngineServer({ model: EMULATOR_MODEL, version: 1 }, `${this.platformAddress}/weights`);
    this.engineAddress = await this.engine.start(HOST, 0);
    this.applicationAddress = await this.application.start(HOST, 0);
    this.roles.set(Number(new URL(this.platformAddress).port), 'platform');
    this.roles.set(Number(new URL(this.engineAddress).port), 'engine');
    this.roles.set(Number(new URL(this.applicationAddress).port), 'application');
    this.platform.store.onTransaction = ({ put }) => {
      for (const { table, part = '', key, value } of put ?? [])
        this.rows.add(`${table} ${normal(part)} ${normal(key)}`, jsonOf(Buffer.from(value, 'base64')));
    };
  }

  async startNode(): Promise<void> {
    const file = join(this.folder, 'node.yaml');
    const settings = emulatorSettings('node-1', 'zone-a', this.platformAddress, { timing: TIMING });
    writeFileSync(file, stringify(settings));
    this.node = await startNode(['--settings', file]);
    await until('the node is ready', async () => (await this.call('GET', '/readyz')).status === 200);
  }

  /** Base URL of the node. */
  get baseUrl(): string {
    return String(this.node?.ready.listening);
  }

  async stop(): Promise<void> {
    this.recorder.stop();
    if (this.node) await killProcess(this.node);
    this.engine?.stop();
    this.application.stop();
    this.platform.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** A call whose answer is not surveyed. */
  async call(
    method: string,
    path: string,
    token?: string,
    body?: object,
    headers: Record<string, string> = {},
  ): Promise<OwnAnswer & { readonly headers: Record<string, string> }> {
    const bearer: Record<string, string> = token === undefined ? {} : { authorization: `Bearer ${token}` };
    const answer = await fetch(`${this.baseUrl}${path}`, {
      method,
      headers: { ...bearer, 'content-type': 'application/json', ...headers },
      body: body && JSON.stringify(body),
    });
    const text = Buffer.from(await answer.arrayBuffer());
    return { status: answer.status, body: jsonOf(text), headers: Object.fromEntries(answer.headers) };
  }

  async play(): Promise<void> {
    await this.startStandIns();
    await this.startNode();
    await this.playDeclarations();
    await this.playRequests();
    await this.playRollout();
    await this.playNextVersion();
    const { peer, trainer, operator } = EMULATOR_TOKENS;
    await this.survey('POST', '/peer/revision', peer, {});
    await this.survey('POST', '/peer/decisions', peer, { subject: this.drawn?.samples[0]?.sampleId });
    await this.survey('GET', `/v1/explain/${this.drawn?.samples[0]?.sampleId}`, operator);
    await this.survey('GET', '/v1/explain/backend%2Fapp-0', operator);
    await this.survey('DELETE', `${TRAINER_PATH}/rollouts/second`, trainer);
    this.metrics = String((await this.call('GET', '/metrics')).body);
    this.surveyRequests();
  }

  private async survey(...[method, path, ...rest]: Parameters<OwnScenario['call']>): Promise<OwnAnswer> {
    const { status, headers, body } = await this.call(method, path, ...rest);
    const name = `${method} ${normal(path)} ${status}`;
    const isStream = typeof body === 'string' && body.startsWith('data:');
    this.answers.add(isStream ? `${name} stream` : name, { headers, body: isStream ? eventsOf(body) : body });
    return { status, body };
  }

  private async untilServed(version: number): Promise<void> {
    await until(`version ${version} is served`, async () => {
      const { body } = await this.call('GET', '/v1/status', EMULATOR_TOKENS.operator);
      return (body as Status).backends.some((one) => one.version === version);
    });
  }

  private async playDeclarations(): Promise<void> {
    const { operator } = EMULATOR_TOKENS;
    const backends = [
      { name: 'engine-0', service: EMULATOR_MODEL_SERVICE, address: this.engineAddress, zone: 'zone-a' },
      { name: 'app-0', service: EMULATOR_APPLICATION, address: this.applicationAddress, zone: 'zone-a' },
    ];
    const manifests = emulatorDeclarations({ stalenessBound: 1, batchSize: 4, backends });
    const changes = manifests.map((manifest) => ({ action: 'put', manifest }));
    const operationId = 'operation-1';
    await this.survey('POST', '/v1/changesets', operator, { operationId, changes });
    await this.survey('POST', '/v1/changesets', operator, { operationId: 'short', changes: [] });
    await this.untilServed(1);
    await this.survey('GET', '/healthz');
    await this.survey('GET', '/readyz');
    await this.survey('GET', '/v1/status', operator);
    await this.survey('GET', '/v1/status');
    await this.survey('GET', '/v1/revisions/1', operator);
    for (const kind of ['Service', 'Backend', 'Model', 'ModelVersion', 'Trainer', 'AccessPolicy', 'Machine'])
      await this.survey('GET', `/v1/resources/${kind}`, operator);
    await this.survey('GET', '/v1/resources/Backend/app-0', operator);
    await this.survey('GET', '/v1/resources/Backend/none', operator);
    const labels = { metadata: { labels: { team: 'a' } } };
    const patch = { 'content-type': 'application/merge-patch+json' };
    await this.survey('PATCH', '/v1/resources/Backend/app-0', operator, labels, patch);
  }

  private async playRequests(): Promise<void> {
    const { caller } = EMULATOR_TOKENS;
    const model = EMULATOR_MODEL;
    const messages = [{ role: 'user', content: 'question' }];
    await this.survey('POST', '/v1/completions', caller, { model, prompt: 'question', max_tokens: 4 });
    await this.survey('POST', '/v1/chat/completions', caller, { model, messages, max_tokens: 4 });
    await this.survey('POST', '/v1/chat/completions', caller, {
      model,
      messages,
      max_tokens: 4,
      stream: true,
    });
    await this.survey(
      'POST',
      `/services/${EMULATOR_APPLICATION}/work`,
      caller,
      {},
      { 'x-work-id': 'work-1' },
    );
    await this.survey('POST', '/services/none/work', caller, {});
  }

  private async playRollout(): Promise<void> {
    const { trainer } = EMULATOR_TOKENS;
    const submit = (rolloutId: string, prompts: string[]) =>
      this.survey('POST', `${TRAINER_PATH}/rollouts`, trainer, {
        rolloutId,
        model: EMULATOR_MODEL,
        prompts,
        samplesPerPrompt: 2,
        maxTokens: 8,
        seed: 1,
      });
    const untilReady = (rolloutId: string, count: number) =>
      until(`all samples of ${rolloutId} are ready`, async () => {
        const { body } = await this.call('GET', `${TRAINER_PATH}/rollouts/${rolloutId}`, trainer);
        return (body as { ready: number }).ready === count;
      });
    await submit('first', ['a', 'b']);
    let sequence = 0;
    const versions = { [EMULATOR_MODEL]: 1 };
    const draw = async (cursor: number) => {
      sequence += 1;
      const request = { cursor, sequence, versions, waitMs: 1_000, maxSamples: 4 };
      return (await this.call('POST', `${TRAINER_PATH}/draws`, trainer, request)).body as Drawn;
    };
    await untilReady('first', 4);
    const drawn = (await until('a batch is drawn', async () => {
      const batch = await draw(1);
      return batch.samples?.length === 4 && batch;
    })) as Drawn;
    this.drawn = drawn;
    await this.onDrawn();
    sequence += 1;
    await this.survey('POST', `${TRAINER_PATH}/draws`, trainer, { cursor: 1, sequence, versions });
    await this.survey('GET', `${TRAINER_PATH}/rollouts/first`, trainer);
    const { attempt, digest } = drawn;
    await this.survey('POST', `${TRAINER_PATH}/acknowledgements`, trainer, { cursor: 1, attempt, digest });
    await submit('second', ['c']);
    await untilReady('second', 2);
  }

  private async playNextVersion(): Promise<void> {
    const { operator, approver } = EMULATOR_TOKENS;
    const weights = { object: `${EMULATOR_MODEL}/2` };
    await this.survey('PUT', `/v1/resources/ModelVersion/${NEXT_VERSION}`, operator, {
      apiVersion: 'thymecove/v1',
      kind: 'ModelVersion',
      metadata: { name: NEXT_VERSION },
      spec: { model: EMULATOR_MODEL, version: 2, weights },
    });
    await this.survey('POST', `/v1/approvals/${NEXT_VERSION}`, approver, { note: 'reviewed' });
    await this.untilServed(2);
  }

  private surveyRequests(): void {
    for (const { port, method, path, headers, chunks } of this.recorder.requests) {
      const role = this.roles.get(port);
      if (role === undefined) continue;
      const url = new URL(path, 'http://stand-in');
      const query = Object.fromEntries(url.searchParams);
      const table = query.table === undefined ? '' : ` of ${query.table}`;
      const isObject = url.pathname.startsWith('/blob-');
      const name = normal(decodeURIComponent(url.pathname));
      const body = isObject ? undefined : jsonOf(Buffer.concat(chunks));
      this.wire.add(`${role} ${method} ${name}${table}`, { headers, query, body });
    }
  }
}
