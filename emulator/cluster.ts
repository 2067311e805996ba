/** A whole system in one process: platform, engines, application back ends and nodes. For the demo. */
import { createPlatformStore } from '../platform/store-factory.js';
import { sleep } from '../src/common/clock.js';
import { sha256Hex, uniqueId } from '../src/common/identifier.js';
import { ThymecoveNode } from '../src/node/resource/node.js';
import { checkSettings, type Settings } from '../src/node/resource/settings.js';
import { OperatorClient } from '../src/protocol/resource/operator-client.js';
import type { Role } from '../src/protocol/resource/resource.js';
import { formatProblems } from '../src/protocol/validation.js';
import { HttpClient } from '../src/transport/http-client.js';
import { ApplicationServer } from './application/application-server.js';
import {
  EMULATOR_APPLICATION,
  EMULATOR_MODEL,
  EMULATOR_MODEL_SERVICE,
  EMULATOR_TRAINER,
  type EmulatedBackend,
  emulatorDeclarations,
} from './declarations.js';
import type { EngineOptions } from './engine/engine.js';
import { EngineServer } from './engine/engine-server.js';
import { PlatformServer } from './platform/platform-server.js';

const HOST = '127.0.0.1';
/** Poll and longest wait until all nodes are ready, milliseconds. Chosen, not measured. */
const POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;

/** Tokens of the emulator's clients; each is the role's name with a suffix. */
export const EMULATOR_TOKENS = {
  operator: 'operator-token-of-the-emulator',
  approver: 'approver-token-of-the-emulator',
  trainer: 'trainer-token-of-the-emulator',
  caller: 'caller-token-of-the-emulator',
  peer: 'peer-token-of-the-emulator',
} as const satisfies Record<Role, string>;

/** Settings of a node in front of the emulator. */
export function emulatorSettings(
  id: string,
  zone: string,
  platform: string,
  changes: Partial<Settings> = {},
): Settings {
  const grant = (role: Role, trainer?: string) => ({
    identity: `${role}-of-the-emulator`,
    tokenSha256: sha256Hex(EMULATOR_TOKENS[role]),
    roles: [role],
    ...(trainer ? { trainer } : {}),
  });
  const tree = {
    node: { id, zone },
    listen: { host: HOST, port: 0 },
    platform: { store: platform, machines: `${platform}/list` },
    access: {
      peerToken: EMULATOR_TOKENS.peer,
      tokens: [grant('operator'), grant('approver'), grant('trainer', EMULATOR_TRAINER), grant('caller')],
    },
    ...changes,
  };
  const checked = checkSettings(tree);
  if (checked.isErr()) throw new Error(formatProblems(checked.error));
  return checked.value;
}

/** Sizes of an embedded system. */
export interface ClusterOptions {
  readonly nodes: number;
  readonly engines: number;
  readonly applications: number;
  readonly zones: readonly string[];
  readonly stalenessBound: number;
  readonly engine?: Partial<EngineOptions>;
  readonly settings?: Partial<Settings>;
  /** Further fields of the trainer's spec. */
  readonly trainer?: object;
}

/** An embedded system. */
export class Cluster {
  readonly platform = new PlatformServer();
  readonly nodes: ThymecoveNode[] = [];
  readonly engines: EngineServer[] = [];
  readonly addresses: string[] = [];
  private readonly applications: ApplicationServer[] = [];
  private readonly client = new HttpClient();
  private platformAddress = '';

  constructor(private readonly options: ClusterOptions) {}

  /** Starts everything and brings the declarations into force. */
  async start(): Promise<void> {
    this.platformAddress = await this.platform.start(HOST, 0);
    const backends = [...(await this.startEngines()), ...(await this.startApplications())];
    for (let index = 0; index < this.options.nodes; index += 1) await this.addNode(index);
    await this.untilReady();
    await this.declare(this.declarations(backends));
  }

  /** An operator's client at a node. */
  operator(index = 0): OperatorClient {
    return new OperatorClient(this.client, this.addresses[index] as string, EMULATOR_TOKENS.operator);
  }

  /** Puts resources into force as one revision. */
  async declare(manifests: readonly unknown[]): Promise<void> {
    const changes = manifests.map((manifest) => ({ action: 'put' as const, manifest }));
    const done = await this.operator().commit({ operationId: uniqueId(), changes });
    if (done.isErr()) throw new Error(`${done.error.message} ${JSON.stringify(done.error.detail)}`);
  }

  /** Stops everything; the nodes as planned. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.stop()));
    for (const server of [...this.engines, ...this.applications]) server.stop();
    this.platform.stop();
    await this.client.close();
  }

  private zone(index: number): string {
    return this.options.zones[index % this.options.zones.length] as string;
  }

  private async addNode(index: number): Promise<void> {
    const settings = emulatorSettings(
      `node-${index}`,
      this.zone(index),
      this.platformAddress,
      this.options.settings,
    );
    const node = new ThymecoveNode(settings, createPlatformStore, { processMetrics: false });
    this.addresses.push(await node.start());
    this.nodes.push(node);
  }

  private async startEngines(): Promise<EmulatedBackend[]> {
    const backends: EmulatedBackend[] = [];
    for (let index = 0; index < this.options.engines; index += 1) {
      const server = new EngineServer(
        { model: EMULATOR_MODEL, version: 1, ...this.options.engine },
        `${this.platformAddress}/weights`,
      );
      this.engines.push(server);
      const address = await server.start(HOST, 0);
      backends.push({
        name: `engine-${index}`,
        service: EMULATOR_MODEL_SERVICE,
        address,
        zone: this.zone(index),
      });
    }
    return backends;
  }

  private async startApplications(): Promise<EmulatedBackend[]> {
    const backends: EmulatedBackend[] = [];
    for (let index = 0; index < this.options.applications; index += 1) {
      const name = `app-${index}`;
      const server = new ApplicationServer(name);
      this.applications.push(server);
      const address = await server.start(HOST, 0);
      backends.push({ name, service: EMULATOR_APPLICATION, address, zone: this.zone(index) });
    }
    return backends;
  }

  private declarations(backends: readonly EmulatedBackend[]): object[] {
    const specs = { [`Trainer/${EMULATOR_TRAINER}`]: this.options.trainer ?? {} };
    return emulatorDeclarations({
      stalenessBound: this.options.stalenessBound,
      batchSize: 32,
      backends,
      specs,
    });
  }

  /** Waits until every node knows every other one and has loaded the configuration. */
  private async untilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    const isReady = () =>
      this.nodes.every(
        (node) =>
          node.state.freshness.isFresh && node.coordination.nodes.active().length === this.options.nodes,
      );
    while (!isReady()) {
      if (Date.now() > deadline) throw new Error('the nodes did not become ready');
      await sleep(POLL_MS);
    }
  }
}
