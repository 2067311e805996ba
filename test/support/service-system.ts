/**
 * A system of serving nodes for tests: the store and the replicas are stand-ins in this process, each node is
 * a process of its own, and each one reaches the store through a fault proxy of its own.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { JobTrainer } from '../../emulator/clients/job-trainer.js';
import { type ReplicaOptions, ReplicaServer } from '../../emulator/replica/replica-server.js';
import type { Transaction } from '../../emulator/store/row-store.js';
import { StoreServer } from '../../emulator/store/store-server.js';
import { UsageServer } from '../../emulator/usage/usage-server.js';
import { HEADER, OPERATOR_KEY, SETTINGS_VARIABLE, TABLE } from '../../platform/names.js';
import {
  NODE_TABLE,
  parseAnnouncement,
} from '../../src/coordination/service/membership/node-announcement.js';
import type { BufferedResponse } from '../../src/transport/http-client.js';
import { HttpClient } from '../../src/transport/http-client.js';
import { FaultProxy } from './fault-proxy.js';
import { LateRelay } from './late-relay.js';
import { until } from './wait.js';

/** The node program. */
export const PROGRAM = resolve(import.meta.dirname, '../../platform/main.js');
export const HOST = 'service.example';
export const LOOKUP_PATH = '/lookup/';
export const SCORING_PATH = '/score/';
export const JOB_PATH = '/jobs/';
export const MODEL = 'model-a';
const ENGINE_SERVICE = 'engine';
export const APPLICATION_SERVICE = 'application';

/** A log line of a node, as its fields. */
export interface LoggedRecord {
  readonly message: string;
  readonly context: Readonly<Record<string, string | number | undefined>>;
}

/** What is run as a node; the program of this build without more by default. */
interface NodeProgram {
  readonly program?: string;
  readonly environment?: Readonly<Record<string, string>>;
}

/** One node process. */
export interface ServiceNodeProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly proxy: FaultProxy;
  /** Stands before its port for other nodes, if nodes are relayed. */
  readonly relay?: LateRelay;
  /** Base URLs. */
  readonly url: string;
  readonly readyUrl: string;
  readonly metricsUrl: string;
  readonly log: LoggedRecord[];
  /** Path of its settings file. */
  readonly settingsFile: string;
}

/** Fields of a route beyond the usual ones. */
export type RouteFields = Readonly<Record<string, unknown>>;

const ENGINE_SLOTS = 4;

/** Routes and services as the operator's row has them. */
export function usualConfiguration(
  version: number,
  overrides: Readonly<Record<string, RouteFields>> = {},
  engineSlots = ENGINE_SLOTS,
) {
  const route = (name: string, fields: RouteFields) => ({
    name,
    host: HOST,
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 3,
    ...fields,
    ...overrides[name],
  });
  return {
    version,
    routes: [
      route('lookup', { pathPrefix: LOOKUP_PATH, kind: 'safe', service: APPLICATION_SERVICE }),
      route('score', { pathPrefix: SCORING_PATH, kind: 'safe', service: APPLICATION_SERVICE }),
      route('jobs', { pathPrefix: JOB_PATH, kind: 'rollout', service: ENGINE_SERVICE, maxQueueS: 30 }),
    ],
    services: [
      { name: ENGINE_SERVICE, maxConns: 100, engine: { slots: engineSlots, models: [{ name: MODEL }] } },
      { name: APPLICATION_SERVICE, maxConns: 100 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** The system. Call `stop` at the end. */
export class ServiceSystem {
  readonly store = new StoreServer();
  readonly usage = new UsageServer();
  readonly replicas: ReplicaServer[] = [];
  readonly nodes: ServiceNodeProcess[] = [];
  readonly trainer = new JobTrainer(HOST);
  readonly http = new HttpClient();
  private readonly folder = mkdtempSync(join(tmpdir(), 'service-system-'));
  private storeAddress = '';
  private usageSettings: Readonly<Record<string, string>> = {};
  /** The relay before the newest process of each node, by name; none while nodes are not relayed. */
  private relays: Map<string, LateRelay> | undefined;

  /** Starts the store with the usual configuration. */
  static async start(): Promise<ServiceSystem> {
    const system = new ServiceSystem();
    system.storeAddress = await system.store.start();
    system.configure(usualConfiguration(1));
    return system;
  }

  /**
   * Starts the interface that takes reports of usage; nodes that start later report to it. Times are in
   * milliseconds.
   */
  async reportUsage(windowMs: number, dueMs: number): Promise<void> {
    this.usageSettings = {
      'cloud.addr': await this.usage.start(),
      'cloud.duties': 'usage,autoscale',
      'bounds.reportWindowS': String(windowMs / 1_000),
      'bounds.usageLateS': String(dueMs / 1_000),
    };
  }

  /** Nodes that start later announce the address of a relay to each other. */
  relayPeers(): void {
    const relays = new Map<string, LateRelay>();
    this.relays = relays;
    this.store.altered = (transaction) => ({
      ...transaction,
      put: transaction.put?.map((row) => relayed(row, relays)),
    });
  }

  /** `IP:PORT` of the store. */
  get address(): string {
    return this.storeAddress;
  }

  /** Writes a configuration as the operator does. */
  configure(configuration: object): void {
    this.store.rows.put(TABLE.operator, OPERATOR_KEY.configuration, configuration);
  }

  /** Names a weight version as a trainer does. */
  nameVersion(version: number, model = MODEL): void {
    this.store.rows.put(TABLE.operator, `${OPERATOR_KEY.versionPrefix}${model}`, { model, version });
  }

  async addEngine(options: Partial<ReplicaOptions> = {}): Promise<ReplicaServer> {
    return this.addReplica({ service: ENGINE_SERVICE, models: { [MODEL]: 1 }, ...options });
  }

  async addApplication(options: Partial<ReplicaOptions> = {}): Promise<ReplicaServer> {
    return this.addReplica({ service: APPLICATION_SERVICE, ...options });
  }

  /** Starts the next incarnation of a replica that has ended, at the same address. */
  async restartReplica(ended: ReplicaServer): Promise<ReplicaServer> {
    const next = await new ReplicaServer(this.store.rows, ended.options).start(
      Number(new URL(`http://${ended.address}`).port),
    );
    next.fatalPrefix = ended.fatalPrefix;
    ended.withdraw();
    this.replicas.push(next);
    return next;
  }

  /** Starts a node under a name; a second start under the same name is its next incarnation. */
  async addNode(
    name: string,
    settings: Readonly<Record<string, string>> = {},
    { program = PROGRAM, environment = {} }: NodeProgram = {},
  ): Promise<ServiceNodeProcess> {
    const proxy = await FaultProxy.start(`http://${this.storeAddress}`);
    const relay = this.relays && (await LateRelay.start());
    if (relay) this.relays?.set(name, relay);
    const file = join(this.folder, `${name}-${this.nodes.length}.conf`);
    writeFileSync(file, this.settingsText(name, proxy, settings));
    const args = [program, '--metrics-port', '0'];
    const env = { ...process.env, ...environment, [SETTINGS_VARIABLE]: file };
    const child = spawn(process.execPath, args, { env });
    child.once('exit', () => relay?.refuse());
    const log: LoggedRecord[] = [];
    const started = await untilStarted(name, child, log);
    const { ingress, readiness, metrics } = started.context;
    const node = {
      name,
      child,
      proxy,
      relay,
      url: `http://${ingress}`,
      readyUrl: `http://${readiness}/ready`,
      metricsUrl: `http://${metrics}/metrics`,
      log,
      settingsFile: file,
    };
    this.nodes.push(node);
    return node;
  }

  /** Waits until a node says that it is ready. */
  async untilReady(node: ServiceNodeProcess): Promise<void> {
    await until(`${node.name} is ready`, async () => (await this.status(node.readyUrl)) === 200);
  }

  /** Status of a GET, 0 without an answer. */
  async status(url: string): Promise<number> {
    const answer = await this.http.exchange({
      method: 'GET',
      url,
      freshConnection: true,
      totalTimeoutMs: 5_000,
    });
    return answer.isOk() ? answer.value.status : 0;
  }

  /** Sends a lookup as a caller does; `undefined` when the connection ends without an answer. */
  async lookup(
    node: Pick<ServiceNodeProcess, 'url'>,
    requestId: string,
    headers: Readonly<Record<string, string>> = {},
    path = `${LOOKUP_PATH}x`,
    body = 'question',
  ): Promise<BufferedResponse | undefined> {
    const answer = await this.http.exchange({
      method: 'POST',
      url: `${node.url}${path}`,
      headers: { host: HOST, [HEADER.requestId]: requestId, [HEADER.deadlineMs]: '3000', ...headers },
      body,
      totalTimeoutMs: 10_000,
    });
    return answer.unwrapOr(undefined as never);
  }

  async stop(): Promise<void> {
    for (const { child, proxy, relay } of this.nodes) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
      proxy.stop();
      relay?.stop();
    }
    for (const replica of this.replicas) replica.crash();
    this.store.stop();
    this.usage.stop();
    await Promise.all([this.http.close(), this.trainer.close()]);
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async addReplica(options: ReplicaOptions): Promise<ReplicaServer> {
    const replica = await new ReplicaServer(this.store.rows, options).start();
    this.replicas.push(replica);
    return replica;
  }

  private settingsText(name: string, proxy: FaultProxy, settings: Readonly<Record<string, string>>): string {
    const fields: Record<string, string> = {
      node: name,
      role: 'node',
      zone: 'zone-a',
      'zones.zone-a': 'region-a',
      'listen.front': '127.0.0.1:0',
      'listen.ready': '127.0.0.1:0',
      'platform.addr': new URL(proxy.address).host,
      'platform.row_bytes': '65536',
      'bounds.graceS': '8',
      'bounds.leaseMs': '1000',
      'limits.memoryMb': '256',
      'field.added.later': 'ignored',
      ...this.usageSettings,
      ...settings,
    };
    return Object.entries(fields)
      .map(([field, value]) => `${field}=${value}\n`)
      .join('');
  }
}

type PutRow = NonNullable<Transaction['put']>[number];

/** A row as it is stored: the announcement of a relayed node names the relay, which learns the node's address. */
function relayed(row: PutRow, relays: ReadonlyMap<string, LateRelay>): PutRow {
  const relay = row.table === NODE_TABLE ? relays.get(row.key) : undefined;
  if (!relay) return row;
  const announcement = parseAnnouncement(Buffer.from(row.value, 'base64')).unwrapOr(undefined);
  if (announcement?.peerAddress === undefined) return row;
  relay.setTarget(announcement.peerAddress);
  const stored = JSON.stringify({ ...announcement, peerAddress: relay.address });
  return { ...row, value: Buffer.from(stored, 'utf8').toString('base64') };
}

/** Kills a process and waits for its end. */
export async function kill(node: ServiceNodeProcess, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
  const ended = once(node.child, 'exit');
  node.child.kill(signal);
  await ended;
}

/**
 * Collects the lines of a process in `log`; resolves to the line of its start, however long that takes while
 * it lives.
 */
function untilStarted(name: string, child: ChildProcess, log: LoggedRecord[]): Promise<LoggedRecord> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  child.stderr?.resume();
  return new Promise((resolve, reject) => {
    child.once('exit', (code, signal) => reject(new Error(`${name} ended with ${code ?? signal}`)));
    lines.on('line', (line) => {
      const record = parseLine(line);
      log.push(record);
      if (record.message === 'process-started') resolve(record);
    });
  });
}

function parseLine(line: string): LoggedRecord {
  try {
    return JSON.parse(line) as LoggedRecord;
  } catch {
    return { message: 'not JSON', context: { line } };
  }
}
