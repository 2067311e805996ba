/**
 * Distinguishes a crashed replica from a lost connection by probing its address: after a crash, connections
 * are refused until the next incarnation starts. An inconclusive probe does not count as a crash; a crash is
 * missed if the next incarnation starts before the probe.
 */
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { type ListenerState, probeListener } from '../../../transport/listener-probe.js';

/** Timeout of a probe, milliseconds. Short, since a caller may be waiting for the next attempt. */
const PROBE_TIMEOUT_MS = 300;

export class CrashCheck {
  /** Probes in progress by address, shared by requests that fail at the same time. */
  private readonly probes = new Map<string, Promise<ListenerState>>();

  constructor(
    private readonly metrics: Pick<ServiceMetrics, 'brokenRuns'>,
    private readonly probe: typeof probeListener = probeListener,
  ) {}

  /** Whether a replica has certainly crashed after a lost connection. Never rejects. */
  async hasCrashed(replica: ReplicaState): Promise<boolean> {
    const { service, address } = replica.replica;
    const listener = await this.probeOnce(address);
    this.metrics.brokenRuns.inc({ service, listener });
    return listener === 'refused' || replica.hasRestarted;
  }

  private probeOnce(address: string): Promise<ListenerState> {
    const inProgress = this.probes.get(address);
    if (inProgress) return inProgress;
    const probing = this.probe(address, PROBE_TIMEOUT_MS).finally(() => this.probes.delete(address));
    this.probes.set(address, probing);
    return probing;
  }
}
