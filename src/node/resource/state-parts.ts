/**
 * Builds the state layer of a node: all parts share one table and one object client, limited in calls a
 * second.
 */
import { uniqueId } from '../../common/identifier.js';
import type { LifecycleObserver } from '../../common/lifecycle.js';
import type { RecordStore } from '../../protocol/record-store.js';
import { AdmissionLimits, BackendRegistry } from '../../state/resource/backends/index.js';
import {
  AccessControl,
  ConfigStore,
  ConfigView,
  FreshnessLease,
} from '../../state/resource/configuration/index.js';
import { DecisionLog } from '../../state/resource/decision-log.js';
import { LeaseStore } from '../../state/resource/leases/index.js';
import { BatchLedger, ClaimStore, RolloutLedger, SampleCommits } from '../../state/resource/samples/index.js';
import { RowTable, StoredObjects } from '../../state/resource/tables/index.js';
import { peerGrant, type Settings, type Timing } from './settings.js';

/** Calls a second to the store when not set, for table and objects each. Chosen, not measured. */
const DEFAULT_CALLS_PER_SECOND = 200;

/** State of a node. */
export interface StateParts {
  readonly view: ConfigView;
  readonly store: ConfigStore;
  readonly freshness: FreshnessLease;
  readonly access: AccessControl;
  readonly limits: AdmissionLimits;
  readonly registry: BackendRegistry;
  readonly leases: LeaseStore;
  readonly rollouts: RolloutLedger;
  readonly commits: SampleCommits;
  readonly batches: BatchLedger;
  readonly claims: ClaimStore;
  readonly decisions: DecisionLog;
  readonly objects: StoredObjects;
  readonly records: RecordStore;
}

/** Builds the state layer. */
export function buildState(
  settings: Settings,
  timing: Timing,
  records: RecordStore,
  observer: LifecycleObserver,
): StateParts {
  const { platform, node } = settings;
  const rate = platform.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND;
  const table = new RowTable(records, observer, rate);
  const objects = new StoredObjects(records, observer.metrics, rate);
  const view = new ConfigView();
  return {
    view,
    objects,
    records,
    store: new ConfigStore(table),
    freshness: new FreshnessLease(timing.freshnessMs),
    access: new AccessControl([...settings.access.tokens, peerGrant(settings)], view),
    limits: new AdmissionLimits(),
    registry: new BackendRegistry(view, observer),
    leases: new LeaseStore(table, node.id, uniqueId(), timing.leaseMs),
    rollouts: new RolloutLedger(table, objects),
    commits: new SampleCommits(table, objects),
    batches: new BatchLedger(table, objects),
    claims: new ClaimStore(table, objects),
    decisions: new DecisionLog(node.id, objects, () => view.revision),
  };
}
