/**
 * A node of the resource interface: builds its layers, starts them, and stops without cutting off work in
 * flight. It is `serving` when the configuration has been loaded; until then, and while it leaves, the work
 * gate rejects new work.
 */
import { totalmem } from 'node:os';
import { sleep } from '../../common/clock.js';
import { collectGarbage } from '../../common/garbage-collector.js';
import { Lifecycle } from '../../common/lifecycle.js';
import { createLogger, type Logger } from '../../common/logging.js';
import { Metrics } from '../../common/metrics.js';
import {
  NODE_TRANSITIONS,
  type NodeEvent,
  type NodeState,
} from '../../coordination/resource/requests/index.js';
import type { RecordStore } from '../../protocol/record-store.js';
import { HttpClient } from '../../transport/http-client.js';
import { MemoryBudget } from '../../transport/memory-budget.js';
import { memoryLimitsOf } from '../machine-limits.js';
import { ApiServer } from './api/api-server.js';
import { callerRoutes } from './api/caller-routes.js';
import { changeRoutes } from './api/change-routes.js';
import { completionRoutes } from './api/completion-routes.js';
import { explainRoutes } from './api/explain-routes.js';
import { healthRoutes } from './api/health-routes.js';
import { peerRoutes } from './api/peer-routes.js';
import { readRoutes } from './api/read-routes.js';
import { trainerRoutes } from './api/trainer-routes.js';
import { buildCoordination, type CoordinationParts } from './coordination-parts.js';
import { type Settings, type Timing, timingOf } from './settings.js';
import { buildState, type StateParts } from './state-parts.js';

/** Creates the client of the store that the settings name; an adapter of a platform provides it. */
export type StoreFactory = (settings: Settings) => RecordStore;

/** Options of a node that shares its process with others. */
export interface NodeOptions {
  /** Whether its metrics include those of the process; false when nodes share one. Default true. */
  readonly processMetrics?: boolean;
}

/** Interval in which the first load of the configuration is checked, milliseconds. Chosen, not measured. */
const READY_POLL_MS = 20;

/** The memory of the machine, or of the container that the process runs in. */
function createBudget(): MemoryBudget {
  const memoryBytes = Math.min(process.constrainedMemory() || Number.POSITIVE_INFINITY, totalmem());
  return new MemoryBudget(memoryLimitsOf(memoryBytes, process.memoryUsage.rss()), collectGarbage);
}

/** One node. */
export class ThymecoveNode {
  readonly metrics: Metrics;
  readonly state: StateParts;
  private readonly logger: Logger;
  private readonly timing: Timing;
  private readonly lifecycle: Lifecycle<NodeState, NodeEvent>;
  private readonly client: HttpClient;
  private readonly server: ApiServer;
  private readonly background = new AbortController();
  private readonly tasksStop = new AbortController();
  private running: Promise<unknown> = Promise.resolve();
  private tasksEnded: Promise<void> = Promise.resolve();
  private coordinationParts: CoordinationParts | undefined;

  constructor(
    private readonly settings: Settings,
    createStore: StoreFactory,
    options: NodeOptions = {},
  ) {
    this.timing = timingOf(settings);
    this.client = new HttpClient({ localAddress: settings.listen.outboundHost });
    this.metrics = new Metrics(options.processMetrics ?? true);
    this.logger = createLogger({ node: settings.node.id, zone: settings.node.zone });
    const observer = { logger: this.logger, metrics: this.metrics };
    this.lifecycle = new Lifecycle<NodeState, NodeEvent>(
      'node',
      settings.node.id,
      'starting',
      NODE_TRANSITIONS,
      observer,
    );
    this.state = buildState(settings, this.timing, createStore(settings), observer);
    this.server = new ApiServer({
      nodeId: settings.node.id,
      access: this.state.access,
      metrics: this.metrics,
      logger: this.logger,
      isLeaving: () => this.lifecycle.current === 'leaving' || this.lifecycle.current === 'stopped',
      budget: createBudget(),
    });
  }

  /** The coordination layer; it exists once the node listens. */
  get coordination(): CoordinationParts {
    if (!this.coordinationParts) throw new Error('the node has not been started');
    return this.coordinationParts;
  }

  /** Listens and starts all tasks. Resolves to the base URL on which it listens. */
  async start(): Promise<string> {
    const { listen, node } = this.settings;
    const port = await this.server.http.listen(listen.host, listen.port);
    const listening = `http://${listen.host}:${port}`;
    const address = listen.advertise ?? listening;
    const observer = { logger: this.logger, metrics: this.metrics };
    this.coordinationParts = buildCoordination({
      settings: this.settings,
      timing: this.timing,
      address,
      client: this.client,
      state: this.state,
      lifecycle: this.lifecycle,
      observer,
    });
    this.addRoutes();
    this.logger.info('node listening', { address, id: node.id });
    this.startTasks();
    return listening;
  }

  /** Stops gracefully: rejects new work, finishes work in flight, releases leases, flushes decisions. */
  async stop(): Promise<void> {
    if (!this.lifecycle.sendIfAccepted('stopRequested')) return;
    this.tasksStop.abort();
    await Promise.all([this.server.whenIdle(), this.tasksEnded]);
    await this.coordination.nodes.announceLeaving();
    this.background.abort();
    await this.running;
    await this.state.decisions.flush();
    await this.server.http.closeGracefully();
    await this.client.close();
    this.lifecycle.send('drained');
  }

  private startTasks(): void {
    const { nodes, follower, monitor, singletonTasks } = this.coordination;
    const { signal } = this.background;
    this.running = Promise.all([
      nodes.run(signal),
      follower.run(signal),
      monitor.run(signal),
      this.state.decisions.run(signal),
      this.becomeReady(signal),
    ]);
    this.tasksEnded = singletonTasks.run(this.tasksStop.signal);
  }

  private async becomeReady(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.coordination.follower.isLoaded) await sleep(READY_POLL_MS, signal);
    if (!signal.aborted) this.lifecycle.sendIfAccepted('configured', `revision ${this.state.view.revision}`);
  }

  private addRoutes(): void {
    const { state, settings } = this;
    const { coordination } = this;
    const parts = { ...state, ...coordination };
    const resourceParts = { ...parts, leaving: this.tasksStop.signal };
    this.server.addRoutes([
      ...healthRoutes(this.metrics, coordination.gate),
      ...callerRoutes(parts),
      ...completionRoutes(parts),
      ...trainerRoutes(parts),
      ...peerRoutes(parts),
      ...readRoutes(resourceParts),
      ...changeRoutes(resourceParts),
      ...explainRoutes({
        ...parts,
        nodeId: settings.node.id,
        zone: settings.node.zone,
        nodeState: () => this.lifecycle.current,
        duties: () => coordination.singletonTasks.runningNames(),
      }),
    ]);
  }
}
