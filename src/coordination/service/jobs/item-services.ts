/** Services shared by the items of a node's jobs, and the properties of a job that its items need. */
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { JobSpecification } from '../../../protocol/service/batch-job.js';
import type { ReplicaClient } from '../../../protocol/service/replica.js';
import type { RoutingTable, TargetSplitter } from '../../../state/service/configuration/index.js';
import type {
  ReplicaDirectory,
  ReplicaState,
  WeightVersions,
} from '../../../state/service/replicas/index.js';
import type { CrashCheck } from '../dispatch/index.js';
import type { LengthEstimator, Placement, SampleScorer } from '../generation/index.js';
import type { RequestQuarantine } from '../requests/index.js';
import type { JobGate } from './job-gate.js';

export interface ItemServices {
  readonly routing: RoutingTable;
  /** Whether no newer configuration can have been in force for longer than the operator's bound. */
  readonly isConfigurationCurrent: () => boolean;
  readonly splitter: TargetSplitter;
  readonly placement: Placement;
  readonly client: ReplicaClient;
  readonly crashCheck: CrashCheck;
  readonly quarantine: RequestQuarantine;
  readonly jobGate: JobGate;
  readonly scorer: SampleScorer;
  readonly lengths: LengthEstimator;
  readonly directory: ReplicaDirectory;
  readonly versions: WeightVersions;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

export interface ItemJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Tenant on whose behalf the job runs, if any. */
  readonly tenant: string | undefined;
  readonly specification: JobSpecification;
  /** Time of acceptance on the monotonic clock, milliseconds. */
  readonly acceptedAtMs: number;
  /** Replica at which an item of each group was last placed, by group. */
  readonly groupReplicas: Map<string, ReplicaState>;
  readonly signal: AbortSignal;
}
