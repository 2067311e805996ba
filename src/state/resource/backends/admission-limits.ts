/**
 * Limits on requests in flight, per service and per caller. Each node counts only its own requests, so a
 * caller that uses several nodes has the full limit on each.
 */
import type { ResourceOf } from '../../../protocol/resource/resource.js';

/** Requests in flight, used when the service declares no limit. */
const DEFAULT_MAX_IN_FLIGHT = 1_024;
const DEFAULT_MAX_IN_FLIGHT_PER_CALLER = 256;

export type LimitReached = 'service-limit' | 'caller-limit';

export class AdmissionLimits {
  private readonly counts = new Map<string, number>();

  /** Admits a request or returns the limit reached. Each admitted request must be released once. */
  admit(service: ResourceOf<'Service'>, identity: string): LimitReached | undefined {
    const { limits } = service.spec;
    const name = service.metadata.name;
    if (this.count(name) >= (limits?.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT)) return 'service-limit';
    const callerKey = `${name}\n${identity}`;
    if (this.count(callerKey) >= (limits?.maxInFlightPerCaller ?? DEFAULT_MAX_IN_FLIGHT_PER_CALLER))
      return 'caller-limit';
    this.add(name, 1);
    this.add(callerKey, 1);
    return undefined;
  }

  release(service: ResourceOf<'Service'>, identity: string): void {
    const name = service.metadata.name;
    this.add(name, -1);
    this.add(`${name}\n${identity}`, -1);
  }

  private count(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  private add(key: string, change: number): void {
    const next = this.count(key) + change;
    if (next <= 0) this.counts.delete(key);
    else this.counts.set(key, next);
  }
}
