/**
 * Tells a replica that has ended from a connection that was cut. Both look the same to the request that was
 * under way; but where a process has ended nothing listens any more, until its successor has started seconds
 * later. One that starts again at the same address is known by its announcement.
 */
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { type ListenerState, probeListener } from '../../../transport/listener-probe.js';

/** Longest wait for the machine's word, milliseconds: a caller may be waiting for the next attempt. */
const PROBE_TIMEOUT_MS = 300;

/** Looks at the addresses of replicas whose connections broke. */
export class CrashCheck {
  /** Looks under way, by address: requests that broke together share one. */
  private readonly probes = new Map<string, Promise<ListenerState>>();

  constructor(
    private readonly metrics: Pick<ServiceMetrics, 'brokenRuns'>,
    private readonly probe: typeof probeListener = probeListener,
  ) {}

  /** Whether the replica under a broken request has certainly ended. In doubt it has not. */
  async hasCrashed(replica: ReplicaState): Promise<boolean> {
    const { service, address } = replica.replica;
    const listener = await this.probeOnce(address);
    this.metrics.brokenRuns.inc({ service, listener });
    return listener === 'refused' || replica.hasRestarted;
  }

  private probeOnce(address: string): Promise<ListenerState> {
    const underWay = this.probes.get(address);
    if (underWay) return underWay;
    const probing = this.probe(address, PROBE_TIMEOUT_MS).finally(() => this.probes.delete(address));
    this.probes.set(address, probing);
    return probing;
  }
}
