/**
 * A small deployment on loopback addresses: the project's stand-in of the platform's store, stand-ins of
 * replicas, and nodes as processes of their own, with the command of the deploy file.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { StoreServer } from '../../emulator/store/store-server.js';
import { send } from './calls.js';
import { nowMs, record, sleep, until } from './record.js';
import { Application, Engine, type Generation } from './replica.js';

export const ROOT = resolve(import.meta.dirname, '../..');
export const HOST = 'ficu95.example';
export const MODEL = 'daka510000';
export const ENGINE_SERVICE = 'huvo11a';
export const APPLICATION_SERVICE = 'wuno96b';
export const ROLLOUT_PREFIX = '/pule252/';
export const LOOKUP_PREFIX = '/lohu930/';
export const REWARD_PREFIX = '/pufi791/';

const METRICS_PORT = 9464;
const ZONES = ['zone-1', 'zone-2', 'zone-3'];

export interface Shape {
  readonly nodes: number;
  readonly engines: number;
  readonly engineSlots: number;
  readonly applications: number;
  readonly applicationSlots: number;
  readonly applicationMs: number;
  readonly loadMs: number;
  readonly memoryMb: number;
  /** Fields of the routes beyond the usual ones. */
  readonly rollout?: object;
  readonly lookup?: object;
  readonly generationOf?: (itemId: string) => Generation;
  readonly answerOf?: (id: string) => Buffer;
  /** Settings beyond the usual ones. */
  readonly settings?: Readonly<Record<string, string>>;
}

export interface Node {
  readonly name: string;
  readonly front: string;
  readonly ready: string;
  readonly child: ChildProcess;
  /** Log lines. */
  readonly log: string[];
  exitedAtMs: number | undefined;
}

const noText: Generation = { events: 1, eventMs: 20, data: () => 'x' };

export class Deployment {
  readonly store = new StoreServer();
  readonly engines: Engine[] = [];
  readonly applications: Application[] = [];
  readonly nodes: Node[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private storeAddress = '';
  private version = 0;

  private constructor(private readonly shape: Shape) {}

  /** Starts everything and waits until all nodes say that they are ready. */
  static async start(shape: Shape): Promise<Deployment> {
    const deployment = new Deployment(shape);
    deployments.add(deployment);
    await deployment.startAll();
    return deployment;
  }

  /** Writes the next configuration, as the operator does; `changed` replaces the routes by name or drops them. */
  configure(changed: Readonly<Record<string, object | undefined>> = {}): void {
    this.version += 3;
    const configuration = configurationOf(this.shape, this.version, changed);
    this.store.rows.put('op', 'config', configuration);
    const names = configuration.routes.map(({ name }) => name).join(' ');
    record(`operator: configuration ${this.version} acknowledged, routes ${names}`);
  }

  /** Names a version, as the trainer does. */
  nameVersion(version: number): void {
    this.store.rows.put('op', `version/${MODEL}`, { model: MODEL, version });
    record(`trainer: version ${version} named and acknowledged`);
  }

  /** Ends a node with a signal. */
  signal(node: Node, signal: NodeJS.Signals): void {
    record(`${signal} to ${node.name}`);
    node.child.kill(signal);
  }

  async startNode(index: number): Promise<Node> {
    const name = `front-${index + 1}`;
    const ip = await freeAddress();
    const [front, ready, control, peer] = await Promise.all([0, 1, 2, 3].map(() => freePort(ip)));
    const file = join(this.folder, `${name}-${this.nodes.length}.conf`);
    const zone = ZONES[index % ZONES.length] as string;
    writeFileSync(
      file,
      settingsText(name, ip, zone, { front, ready, control, peer }, this.storeAddress, this.shape),
    );
    const [program, ...args] = runCommand();
    const { PATH = '', HOME = '', LANG = 'C' } = process.env;
    const child = spawn(program as string, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, THYMECOVE_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const node: Node = {
      name,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      child,
      log: [],
      exitedAtMs: undefined,
    };
    for (const stream of [child.stdout, child.stderr])
      stream?.on('data', (chunk: Buffer) => node.log.push(...chunk.toString('utf8').split('\n')));
    child.once('exit', (code, signal) => {
      node.exitedAtMs = nowMs();
      record(`${name} has ended: ${code ?? signal}`);
    });
    this.nodes.push(node);
    return node;
  }

  async untilReady(node: Node): Promise<void> {
    await until(`${node.name} is ready`, async () => {
      if (node.exitedAtMs !== undefined)
        throw new Error(`${node.name} has ended: ${node.log.slice(-3).join(' ')}`);
      const call = { address: node.ready, method: 'GET', path: '/ready', timeoutMs: 1_000 };
      return (await send(call)).status === 200;
    });
    record(`${node.name} is ready`);
  }

  /** Ends all processes and servers, and removes the folder. */
  stop(): void {
    deployments.delete(this);
    for (const { child } of this.nodes)
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    for (const replica of [...this.engines, ...this.applications]) replica.stop();
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    const { shape } = this;
    this.storeAddress = await this.store.start();
    this.store.delayMs = 4;
    this.configure();
    const zoneOf = (at: number) => ZONES[at % ZONES.length] as string;
    for (let at = 0; at < shape.engines; at += 1) {
      const options = { service: ENGINE_SERVICE, zone: zoneOf(at), slots: shape.engineSlots };
      const generationOf = shape.generationOf ?? (() => noText);
      this.engines.push(await new Engine(this.store, options, MODEL, shape.loadMs, generationOf).start());
    }
    for (let at = 0; at < shape.applications; at += 1) {
      const options = { service: APPLICATION_SERVICE, zone: zoneOf(at), slots: shape.applicationSlots };
      this.applications.push(
        await new Application(this.store, options, shape.applicationMs, shape.answerOf).start(),
      );
    }
    for (const replica of [...this.engines, ...this.applications]) replica.announce();
    for (let at = 0; at < shape.nodes; at += 1) await this.startNode(at);
    await Promise.all(this.nodes.map((node) => this.untilReady(node)));
    // Time for the nodes to learn of each other, as before the start of traffic.
    await sleep(4_000);
  }
}

const deployments = new Set<Deployment>();

/** Ends whatever a script has started. */
export function stopAll(): void {
  for (const deployment of [...deployments]) deployment.stop();
}

/** The words of the `run` line of the deploy file. */
function runCommand(): string[] {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1];
  if (!line) throw new Error('the deploy file has no run line');
  return line.split(' ');
}

interface RouteRow {
  readonly name: string;
}

function configurationOf(
  shape: Shape,
  version: number,
  changed: Readonly<Record<string, object | undefined>>,
): { routes: RouteRow[] } & Record<string, unknown> {
  const usual: Record<string, object> = {
    lookup: {
      pathPrefix: LOOKUP_PREFIX,
      kind: 'safe',
      service: APPLICATION_SERVICE,
      timeoutMs: 1_500,
      targetLatencyMs: 185,
      priority: 2,
      maxAttempts: 2,
      ...shape.lookup,
    },
    reward: {
      pathPrefix: REWARD_PREFIX,
      kind: 'safe',
      service: APPLICATION_SERVICE,
      timeoutMs: 1_500,
      targetLatencyMs: 192,
      priority: 2,
      maxAttempts: 4,
    },
    rollout: {
      pathPrefix: ROLLOUT_PREFIX,
      kind: 'rollout',
      service: ENGINE_SERVICE,
      timeoutMs: 10_000,
      targetLatencyMs: 400,
      resultDeadlineMs: 7_500,
      maxQueueS: 40,
      priority: 0,
      maxAttempts: 3,
      resumable: true,
      sticky: true,
      ...shape.rollout,
    },
  };
  const routes = Object.entries({ ...usual, ...changed }).flatMap(([name, fields]) =>
    fields ? [{ name, host: HOST, ...usual[name], ...fields }] : [],
  );
  return {
    version,
    routes,
    services: [
      {
        name: ENGINE_SERVICE,
        healthPath: '/health',
        maxConns: 150,
        engine: { slots: shape.engineSlots, kvCapacity: 103_490, models: [{ name: MODEL }] },
      },
      { name: APPLICATION_SERVICE, healthPath: '/health', maxConns: 110 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 33_554_432,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function settingsText(
  name: string,
  ip: string,
  zone: string,
  ports: Record<'front' | 'ready' | 'control' | 'peer', number | undefined>,
  store: string,
  shape: Shape,
): string {
  const fields: Record<string, string> = {
    node: name,
    role: 'node',
    machineClass: 'front',
    serves: 'front',
    ip,
    zone,
    region: 'region-1',
    ...Object.fromEntries(ZONES.map((each) => [`zones.${each}`, 'region-1'])),
    'listen.front': `${ip}:${ports.front}`,
    'listen.ready': `${ip}:${ports.ready}`,
    'listen.control': `${ip}:${ports.control}`,
    portRange: `${ports.peer},${ports.peer}`,
    bootstrap: 'true',
    'limits.cpuShare': '0.675',
    'limits.cores': '2',
    'limits.memoryMb': String(shape.memoryMb),
    'limits.maxFds': '8200',
    'limits.linkMbps': '1000.0',
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: '1200',
    contracts: 'base,drain,config,cost,recover,samples,stream,engine,batch,platform',
    'tolerate.machines': '1',
    'bounds.reuseAfterS': '2',
    'bounds.contactMs': '3000',
    'bounds.ackMs': '4000',
    'bounds.drainMs': '2000',
    'bounds.graceS': '8',
    'bounds.lossSlackMs': '200',
    'bounds.configApplyMs': '2000',
    'bounds.recoveryS': '12',
    'bounds.finishS': '10',
    'bounds.statusS': '120',
    'bounds.cancelMs': '3000',
    'bounds.settleMs': '1000',
    'bounds.requireFencing': 'false',
    'bounds.leaseMs': '3000',
    'bounds.thawSlackMs': '300',
    'platform.addr': store,
    'platform.form': 'table',
    'platform.writes_per_s': '800',
    'platform.reads_per_s': '2000',
    'platform.tx_ms': '3.0',
    'platform.row_bytes': '65536',
    'platform.blob_bytes': '8388608',
    ...shape.settings,
  };
  return Object.entries(fields)
    .map(([field, value]) => `${field}=${value}\n`)
    .join('');
}

/** A loopback address of its own for a node, whose port for figures is fixed by the deploy file. */
async function freeAddress(): Promise<string> {
  for (let tries = 0; tries < 50; tries += 1) {
    const ip = `127.${20 + random(200)}.${random(250)}.${1 + random(250)}`;
    if (await canListen(ip, METRICS_PORT)) return ip;
  }
  throw new Error('no free loopback address');
}

function random(below: number): number {
  return Math.floor(Math.random() * below);
}

function canListen(ip: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function freePort(ip: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
}
