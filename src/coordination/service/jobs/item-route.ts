/**
 * Looks up the route of an item in the current configuration, waits for one that is missing, and decides when it
 * counts as removed, which makes the item dead.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { ItemJob, ItemServices } from './item-services.js';

const ROUTE_POLL_INTERVAL_MS = 100;
/** Tolerates a configuration that lacks the route only briefly, so that it makes no item dead. */
const MISSING_ROUTE_GRACE_MS = 3_000;

/** Route of one item: matched by its own path, else by the path of its job. */
export class ItemRoute {
  /** When the route was first found missing since it was last present, on the monotonic clock, milliseconds. */
  private missingSinceMs: number | undefined;

  constructor(
    private readonly services: Pick<ItemServices, 'routing' | 'splitter' | 'isConfigurationCurrent'>,
    private readonly job: Pick<ItemJob, 'host' | 'path' | 'signal'>,
    private readonly item: Pick<JobItem, 'path'>,
    private readonly now: () => number = monotonicMs,
  ) {}

  get current(): Route | undefined {
    const { host, path } = this.job;
    const snapshot = this.services.routing.current;
    return snapshot?.match(host, this.item.path) ?? snapshot?.match(host, path);
  }

  /** Waits for a route. Resolves to `undefined` when the route was removed or the job is stopped. */
  async wait(): Promise<Route | undefined> {
    for (;;) {
      const route = this.current;
      if (this.isRemoved() || route || this.job.signal.aborted) return route;
      await sleep(ROUTE_POLL_INTERVAL_MS, this.job.signal);
    }
  }

  /**
   * Whether the route has been missing for longer than the grace period, as far as was observed by calls of this
   * method, in a configuration that is current: an older one may precede the acceptance of the job.
   */
  isRemoved(): boolean {
    if (this.current || !this.services.routing.current) {
      this.missingSinceMs = undefined;
      return false;
    }
    this.missingSinceMs ??= this.now();
    const isOver = this.now() - this.missingSinceMs > MISSING_ROUTE_GRACE_MS;
    return isOver && this.services.isConfigurationCurrent();
  }

  /**
   * Service to place an attempt at: `preferred` for as long as the route includes it, else another target.
   */
  resolveService(preferred: string | undefined): string | undefined {
    const route = this.current;
    if (route?.targets.some((target) => target.service === preferred)) return preferred;
    return route && this.services.splitter.next(route)?.service;
  }
}
