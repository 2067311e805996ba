/** A whole system of real processes: platform, engines, application back ends, nodes, each behind a proxy. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';
import { TrainerClient } from '../../emulator/clients/trainer-client.js';
import { EMULATOR_TOKENS, emulatorSettings } from '../../emulator/cluster.js';
import {
  EMULATOR_APPLICATION,
  EMULATOR_MODEL,
  EMULATOR_MODEL_SERVICE,
  EMULATOR_TRAINER,
  emulatorDeclarations,
} from '../../emulator/declarations.js';
import { uniqueId } from '../../src/common/identifier.js';
import type { Settings } from '../../src/node/resource/settings.js';
import { OperatorClient } from '../../src/protocol/resource/operator-client.js';
import { HttpClient } from '../../src/transport/http-client.js';
import { FaultProxy } from './fault-proxy.js';
import { killProcess, type ReadyProcess, startEmulator, startNode } from './processes.js';
import { until } from './wait.js';

/** Times short enough for tests; no verdict depends on them. */
const TEST_TIMING: Settings['timing'] = {
  freshnessMs: 1_500,
  holdMs: 200,
  nodeBeatMs: 150,
  nodeExpiryMs: 1_800,
  leaseMs: 1_200,
  enginePollMs: 100,
  machinePollMs: 100,
};

/** Sizes of a system. */
export interface SystemOptions {
  readonly nodes: number;
  readonly engines?: number;
  readonly applications?: number;
  readonly stalenessBound?: number;
  readonly stepMs?: number;
  readonly medianTokens?: number;
  readonly timing?: Settings['timing'];
  /** Declares back ends by their own addresses, not behind proxies: for benchmarks. */
  readonly directBackends?: boolean;
  /** Changes of the declared specs, by `Kind/name`. */
  readonly specs?: Readonly<Record<string, object>>;
}

/** A node process, the proxy that others reach it through, and its own way to the platform. */
export interface SystemNode {
  readonly id: string;
  process: ReadyProcess;
  /** Address of the process itself, for callers. */
  readonly address: string;
  /** IP address that its connections come from. */
  readonly host: string;
  /** What other nodes reach it through. */
  readonly peerProxy: FaultProxy;
  readonly platformProxy: FaultProxy;
  readonly settingsFile: string;
}

/** A back end process behind a proxy. */
export interface SystemBackend {
  readonly name: string;
  readonly process: ReadyProcess;
  /** Address of the process itself, for control. */
  readonly direct: string;
  readonly proxy: FaultProxy;
}

const FIRST_HOST = 11;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** One system. */
export class TestSystem {
  readonly nodes: SystemNode[] = [];
  readonly engines: SystemBackend[] = [];
  readonly applications: SystemBackend[] = [];
  readonly client = new HttpClient();
  platformAddress = '';
  private platform: ReadyProcess | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'thymecove-test-'));

  constructor(private readonly options: SystemOptions) {}

  /** Starts all processes and brings the declarations into force. */
  async start(): Promise<void> {
    this.platform = await startEmulator(['platform']);
    this.platformAddress = this.platform.ready.address as string;
    const indices = (count = 0) => Array.from({ length: count }, (_, index) => index);
    const [engines, applications] = await Promise.all([
      Promise.all(indices(this.options.engines).map((index) => this.startEngine(index))),
      Promise.all(indices(this.options.applications).map((index) => this.startApplication(index))),
      this.addNodes(indices(this.options.nodes).map((index) => `node-${index}`)),
    ]);
    this.engines.push(...engines);
    this.applications.push(...applications);
    await this.untilMembers(this.options.nodes);
    await this.declare(this.declarations());
  }

  /** Ends everything at once. */
  async stop(): Promise<void> {
    const processes = [...this.nodes, ...this.engines, ...this.applications].map((one) => one.process);
    if (this.platform) processes.push(this.platform);
    for (const one of processes) one.child.kill('SIGCONT');
    await Promise.all(processes.map((one) => killProcess(one)));
    for (const node of this.nodes) {
      node.platformProxy.stop();
      node.peerProxy.stop();
    }
    for (const backend of [...this.engines, ...this.applications]) backend.proxy.stop();
    await this.client.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Starts nodes. Each has an IP address of its own, so that proxies can tell who connects. */
  async addNodes(ids: readonly string[], zone = ZONES[0] as string): Promise<SystemNode[]> {
    const known = this.nodes.length;
    const proxies = await Promise.all(ids.map(() => FaultProxy.start()));
    const added = await Promise.all(
      ids.map((id, index) => this.startNode(id, zone, proxies[index] as FaultProxy, known + index)),
    );
    this.nodes.push(...added);
    return added;
  }

  private async startNode(
    id: string,
    zone: string,
    peerProxy: FaultProxy,
    index: number,
  ): Promise<SystemNode> {
    const platformProxy = await FaultProxy.start(this.platformAddress);
    const timing = { ...TEST_TIMING, ...this.options.timing };
    const host = `127.0.0.${FIRST_HOST + index}`;
    const listen = { host, port: 0, advertise: peerProxy.address, outboundHost: host };
    const settings = emulatorSettings(id, zone, platformProxy.address, { timing, listen });
    const settingsFile = join(this.folder, `${id}.yaml`);
    writeFileSync(settingsFile, stringify(settings));
    const process = await startNode(['--settings', settingsFile]);
    const address = process.ready.listening as string;
    peerProxy.setTarget(address);
    return { id, process, address, host, peerProxy, platformProxy, settingsFile };
  }

  /** Starts a killed node again, under its address. */
  async restartNode(node: SystemNode): Promise<void> {
    const port = new URL(node.address).port;
    node.process = await startNode(['--settings', node.settingsFile, '--port', port]);
  }

  /** Cuts a node off from the other nodes, in both directions; callers and the platform still reach it. */
  isolate(node: SystemNode): void {
    const others = this.nodes.filter((one) => one !== node);
    node.peerProxy.blockSources(others.map((one) => one.host));
    for (const other of others) other.peerProxy.blockSources([node.host]);
  }

  /** IP addresses that the next nodes will have. */
  nextHosts(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `127.0.0.${FIRST_HOST + this.nodes.length + index}`);
  }

  /** Cuts two groups of nodes off from each other; within a group all reach all. */
  separate(left: readonly SystemNode[], right: readonly SystemNode[]): void {
    for (const [group, others] of [
      [left, right],
      [right, left],
    ] as const) {
      for (const node of group) node.peerProxy.blockSources(others.map((one) => one.host));
    }
  }

  /** Mends all cuts between nodes. */
  reconnect(): void {
    for (const node of this.nodes) node.peerProxy.blockSources([]);
  }

  /** Waits until every node takes work and knows so many members. */
  async untilMembers(count: number): Promise<void> {
    for (const node of this.nodes) {
      await until(`${node.id} knows ${count} members`, async () => {
        const status = await this.operator(node).status();
        if (status.isErr() || !status.value.node.configurationFresh) return false;
        return status.value.members.filter((member) => member.state === 'alive').length === count;
      });
    }
  }

  /** Waits until every engine has reported to a node that it serves the first version. */
  async untilEnginesServe(node: SystemNode): Promise<void> {
    await until('the engines are known', async () => {
      const { backends } = (await this.operator(node).status())._unsafeUnwrap();
      return backends.filter((one) => one.version === 1).length === this.engines.length;
    });
  }

  /** Puts resources into force as one revision; resolves to it. */
  async declare(manifests: readonly unknown[]): Promise<number> {
    const changes = manifests.map((manifest) => ({ action: 'put' as const, manifest }));
    const done = await this.operator(this.nodes[0] as SystemNode).commit({
      operationId: uniqueId(),
      changes,
    });
    if (done.isErr()) throw new Error(`${done.error.message} ${JSON.stringify(done.error.detail)}`);
    return done.value.revision;
  }

  /** An operator at a node. */
  operator(node: SystemNode): OperatorClient {
    return new OperatorClient(this.client, node.address, EMULATOR_TOKENS.operator);
  }

  /** An approver at a node. */
  approver(node: SystemNode): OperatorClient {
    return new OperatorClient(this.client, node.address, EMULATOR_TOKENS.approver);
  }

  /** The trainer at a node. */
  trainer(node: SystemNode): TrainerClient {
    return new TrainerClient(this.client, node.address, EMULATOR_TRAINER, EMULATOR_TOKENS.trainer);
  }

  /** Sends a request to the application service through a node. */
  async callApplication(node: SystemNode, workId: string, headers: Record<string, string> = {}) {
    const answer = await this.client.exchange({
      method: 'POST',
      url: `${node.address}/services/${EMULATOR_APPLICATION}/work`,
      headers: { authorization: `Bearer ${EMULATOR_TOKENS.caller}`, 'x-work-id': workId, ...headers },
      body: `body of ${workId}`,
    });
    return answer.map(({ status, headers: answered, body }) => {
      const text = body.toString('utf8');
      return { status, headers: answered, json: JSON.parse(text) as Record<string, unknown> };
    });
  }

  /** How often each request ran, over all application back ends. */
  async runs(): Promise<Record<string, number>> {
    const total: Record<string, number> = {};
    for (const backend of this.applications) {
      const answer = await this.client.exchange({ method: 'GET', url: `${backend.direct}/control/runs` });
      const { runs } = JSON.parse(answer._unsafeUnwrap().body.toString('utf8')) as {
        runs: Record<string, number>;
      };
      for (const [workId, count] of Object.entries(runs)) total[workId] = (total[workId] ?? 0) + count;
    }
    return total;
  }

  /** Sets faults or other control values of a stand-in. */
  async control(base: string, path: string, value: object): Promise<void> {
    const body = JSON.stringify(value);
    const answer = await this.client.exchange({ method: 'PUT', url: `${base}${path}`, body });
    if (answer.isErr() || answer.value.status !== 200) throw new Error(`control ${path} failed`);
  }

  private async startEngine(index: number): Promise<SystemBackend> {
    const args = [
      '--weights',
      `${this.platformAddress}/weights`,
      '--model',
      EMULATOR_MODEL,
      '--version',
      '1',
    ];
    if (this.options.stepMs) args.push('--step-ms', String(this.options.stepMs));
    if (this.options.medianTokens) args.push('--median-tokens', String(this.options.medianTokens));
    const process = await startEmulator(['engines', ...args]);
    return this.behindProxy(`engine-${index}`, process);
  }

  private async startApplication(index: number): Promise<SystemBackend> {
    const process = await startEmulator(['application', '--name', `app-${index}`]);
    return this.behindProxy(`app-${index}`, process);
  }

  private async behindProxy(name: string, process: ReadyProcess): Promise<SystemBackend> {
    const [direct] = process.ready.addresses as [string];
    return { name, process, direct, proxy: await FaultProxy.start(direct) };
  }

  private declarations(): object[] {
    const described = (service: string, list: readonly SystemBackend[]) =>
      list.map((one) => ({
        name: one.name,
        service,
        address: this.options.directBackends ? one.direct : one.proxy.address,
        zone: ZONES[0] as string,
      }));
    return emulatorDeclarations({
      stalenessBound: this.options.stalenessBound ?? 1,
      batchSize: 16,
      backends: [
        ...described(EMULATOR_MODEL_SERVICE, this.engines),
        ...described(EMULATOR_APPLICATION, this.applications),
      ],
      specs: this.options.specs,
    });
  }
}
