/** Dependencies that an adapter supplies to a node, and the context that its subsystems share. */
import type { DecisionLogger } from '../../common/decision-logger.js';
import { uniqueId } from '../../common/identifier.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import type { PeerCall } from '../../coordination/service/dispatch/index.js';
import { JobHeads, type SubmissionParser } from '../../coordination/service/jobs/index.js';
import type { AnnouncementFormat } from '../../coordination/service/membership/index.js';
import type { RecordStore } from '../../protocol/record-store.js';
import type { PeerConfigurationAnswer } from '../../protocol/service/configuration-peer.js';
import type { CrashReportMessage, CrashReportsAnswer } from '../../protocol/service/crash-report-peer.js';
import type { JobPeer } from '../../protocol/service/job-calls.js';
import type { ReplicaClient } from '../../protocol/service/replica.js';
import type { ServiceSettings, UsageSettings } from '../../protocol/service/service-settings.js';
import type { UsageSink } from '../../protocol/service/usage.js';
import { RoutingTable } from '../../state/service/configuration/index.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';
import { ReplicaDirectory, WeightVersions } from '../../state/service/replicas/index.js';
import { type ReportUnreadable, UnreadableRecords } from '../../state/service/store/index.js';
import type { MemoryBudget } from '../../transport/memory-budget.js';

export interface ServiceNodeDependencies {
  /** Current settings; they may be reloaded while the node runs. */
  readonly settings: () => ServiceSettings;
  readonly store: RecordStore;
  readonly client: ReplicaClient;
  readonly peer: JobPeer;
  readonly format: AnnouncementFormat;
  readonly parseSubmission: SubmissionParser;
  /** Creates the client of the usage collector; called only if usage is reported. */
  readonly createUsageSink: (settings: UsageSettings) => UsageSink;
  /** Requests a configuration newer than `version` from another node. */
  readonly fetchPeerConfiguration: (address: string, version: number) => Promise<PeerConfigurationAnswer>;
  /** Exchanges crash reports with another node; `undefined` when it does not answer. */
  readonly exchangeCrashReports: (
    address: string,
    reports: readonly CrashReportMessage[],
  ) => Promise<CrashReportsAnswer | undefined>;
  /** Forwards a request to the dispatcher of its service. */
  readonly dispatchAtPeer: PeerCall;
  readonly budget: MemoryBudget;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** Shared by all subsystems of one node. */
export interface NodeContext extends ServiceNodeDependencies {
  /** The node's name and the incarnation of this process. */
  readonly self: OwnerReference;
  readonly routing: RoutingTable;
  readonly directory: ReplicaDirectory;
  readonly versions: WeightVersions;
  readonly heads: JobHeads;
  /** Logs and counts a stored record that cannot be used. */
  readonly reportUnreadable: ReportUnreadable;
}

/** Creates the context of a new incarnation, with empty tables. */
export function createNodeContext(parts: ServiceNodeDependencies): NodeContext {
  const unreadable = new UnreadableRecords(parts.metrics, parts.logger);
  return {
    ...parts,
    reportUnreadable: (record, problem) => unreadable.report(record, problem),
    self: { node: parts.settings().nodeName, life: uniqueId() },
    routing: new RoutingTable(),
    directory: new ReplicaDirectory(),
    versions: new WeightVersions(),
    heads: new JobHeads(() => parts.store.nowMs()),
  };
}
