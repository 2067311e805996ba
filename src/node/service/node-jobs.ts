/**
 * Composes the batch jobs of one node: API calls, job ownership and sample placement. While the store does
 * not answer, calls are forwarded to nodes that reach it, and owned jobs are cancelled here once other nodes
 * are known to reach it.
 */
import { MILLISECONDS_PER_SECOND } from '../../common/clock.js';
import type { CrashCheck } from '../../coordination/service/dispatch/index.js';
import { LengthEstimator, Placement, SampleScorer } from '../../coordination/service/generation/index.js';
import {
  JobCalls,
  JobForwarding,
  type JobGate,
  JobOwnership,
} from '../../coordination/service/jobs/index.js';
import type { PeerAddresses, SessionMonitor } from '../../coordination/service/membership/index.js';
import type { RequestQuarantine, ServiceRelay } from '../../coordination/service/requests/index.js';
import type { TargetSplitter } from '../../state/service/configuration/index.js';
import { JobRepository, ResultCache } from '../../state/service/jobs/index.js';
import type { NodeContext } from './node-context.js';
import type { SessionRole } from './session-roles.js';

/** Fraction of the memory limit for cached results. */
const RESULT_CACHE_FRACTION = 0.05;

export interface NodeJobsDependencies {
  readonly splitter: TargetSplitter;
  readonly crashCheck: CrashCheck;
  readonly quarantine: RequestQuarantine;
  readonly relay: ServiceRelay;
  readonly sessions: SessionMonitor;
  readonly peers: PeerAddresses;
  readonly jobGate: JobGate;
  /** See `ItemServices`. */
  readonly isConfigurationCurrent: () => boolean;
}

export class NodeJobs {
  readonly ownership: JobOwnership;
  readonly calls: JobCalls;
  private readonly placement: Placement;

  constructor(
    private readonly context: NodeContext,
    services: NodeJobsDependencies,
  ) {
    const { store, routing, directory, settings, parseSubmission } = context;
    const { zone, memoryBytes } = settings();
    const cache = new ResultCache(memoryBytes * RESULT_CACHE_FRACTION);
    const repository = new JobRepository(store, context.reportUnreadable);
    this.placement = new Placement(directory, zone, ({ replica }) =>
      routing.current?.slowStartPerSecondPerOwner(replica.service),
    );
    this.ownership = this.createOwnership(services, repository, cache);
    const isStoreAnswering = () => store.isAnswering();
    const { peer, logger } = context;
    this.calls = new JobCalls({
      repository,
      ownership: this.ownership,
      cache,
      parseSubmission,
      logger,
      isStoreAnswering,
      forwarding: new JobForwarding({ peer, peers: services.peers, isStoreAnswering, logger }),
    });
  }

  /** Whether owned jobs require heartbeats, and whose heartbeats to watch. */
  get sessionRole(): SessionRole {
    return {
      isHolder: () => this.ownership.isRecentOwner,
      mustWatch: () => this.ownership.mustWatch,
      holders: () => this.ownership.heads.owners,
    };
  }

  /** Sets the gauges. */
  measure(): void {
    const { metrics } = this.context;
    metrics.items.set({ state: 'open' }, this.ownership.openItems);
    metrics.items.set({ state: 'waiting' }, this.placement.waitingCount);
    metrics.oldestJobSeconds.set({}, this.ownership.oldestAgeMs / MILLISECONDS_PER_SECOND);
  }

  private createOwnership(
    { peers: _, ...dependencies }: NodeJobsDependencies,
    repository: JobRepository,
    cache: ResultCache,
  ): JobOwnership {
    const { context, placement } = this;
    const services = {
      ...context,
      ...dependencies,
      placement,
      lengths: new LengthEstimator(),
      scorer: new SampleScorer(context.routing, dependencies.relay),
      repository,
      cache,
      retentionMs: () => context.settings().resultRetentionMs,
    };
    return new JobOwnership(services, context.self);
  }
}
