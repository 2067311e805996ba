/** The state layer of a node, put together. */
import { uniqueId } from '../common/identifier.js';
import type { LifecycleObserver } from '../common/lifecycle.js';
import { ObjectStoreClient } from '../protocol/object-store.js';
import { TableServiceClient } from '../protocol/table-service.js';
import { AccessControl } from '../state/access-control.js';
import { AdmissionLimits } from '../state/admission-limits.js';
import { BackendRegistry } from '../state/backend-registry.js';
import { BatchLedger } from '../state/batch-ledger.js';
import { ClaimStore } from '../state/claim-store.js';
import { ConfigStore } from '../state/config-store.js';
import { ConfigView } from '../state/config-view.js';
import { DecisionLog } from '../state/decision-log.js';
import { FreshnessLease } from '../state/freshness-lease.js';
import { LeaseStore } from '../state/lease-store.js';
import { PlatformObjects } from '../state/platform-objects.js';
import { PlatformTable } from '../state/platform-table.js';
import { RolloutLedger } from '../state/rollout-ledger.js';
import type { HttpClient } from '../transport/http-client.js';
import { peerGrant, type Settings, type Timing } from './settings.js';

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
  readonly batches: BatchLedger;
  readonly claims: ClaimStore;
  readonly decisions: DecisionLog;
  readonly objects: PlatformObjects;
}

/** Builds the state layer. */
export function buildState(
  settings: Settings,
  timing: Timing,
  client: HttpClient,
  observer: LifecycleObserver,
): StateParts {
  const { platform, node } = settings;
  const rate = platform.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND;
  const table = new PlatformTable(new TableServiceClient(client, platform.table), observer, rate);
  const objects = new PlatformObjects(
    new ObjectStoreClient(client, platform.objects),
    observer.metrics,
    rate,
  );
  const view = new ConfigView();
  return {
    view,
    objects,
    store: new ConfigStore(table),
    freshness: new FreshnessLease(timing.freshnessMs),
    access: new AccessControl([...settings.access.tokens, peerGrant(settings)], view),
    limits: new AdmissionLimits(),
    registry: new BackendRegistry(view, observer),
    leases: new LeaseStore(table, node.id, uniqueId(), timing.leaseMs),
    rollouts: new RolloutLedger(table, objects),
    batches: new BatchLedger(table, objects),
    claims: new ClaimStore(table, objects),
    decisions: new DecisionLog(node.id, objects, () => view.revision),
  };
}
