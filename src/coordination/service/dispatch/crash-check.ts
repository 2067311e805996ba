/**
 * Distinguishes a crashed replica from a lost connection, which look the same to the request: after a crash
 * nothing listens at the address until the next incarnation starts. A crash is missed where that starts
 * before the probe, or packets are lost; in doubt there was none.
 */
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { type ListenerState, probeListener } from '../../../transport/listener-probe.js';

/** Time-out of a probe, milliseconds. Chosen, not measured: a caller may wait for the next attempt. */
const PROBE_TIMEOUT_MS = 300;

export class CrashCheck {
  /** Probes in progress, by address: requests that fail together share one. */
  private readonly probes = new Map<string, Promise<ListenerState>>();

  constructor(
    private readonly metrics: Pick<ServiceMetrics, 'brokenRuns'>,
    private readonly probe: typeof probeListener = probeListener,
  ) {}

  /** Whether a replica has certainly crashed, after a connection to it was lost. Never rejects. */
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
