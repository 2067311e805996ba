/** Looks up the route of an item in the current configuration and waits for one that is missing. */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import { isRouteRemoved } from '../generation/index.js';
import type { ItemJob, ItemServices } from './item-services.js';

const ROUTE_POLL_INTERVAL_MS = 100;

/** Route of one item: matched by its own path, else by the path of its job. */
export class ItemRoute {
  constructor(
    private readonly services: Pick<ItemServices, 'routing' | 'splitter'>,
    private readonly job: Pick<ItemJob, 'host' | 'path' | 'signal'>,
    private readonly item: Pick<JobItem, 'path'>,
  ) {}

  get current(): Route | undefined {
    const { host, path } = this.job;
    const snapshot = this.services.routing.current;
    return snapshot?.match(host, this.item.path) ?? snapshot?.match(host, path);
  }

  /** Waits for a route. Resolves to `undefined` when the route was removed or the job is stopped. */
  async wait(): Promise<Route | undefined> {
    const startedAtMs = monotonicMs();
    for (;;) {
      const route = this.current;
      if (route) return route;
      const isConfigured = this.services.routing.current !== undefined;
      if (this.job.signal.aborted) return undefined;
      if (isConfigured && isRouteRemoved(startedAtMs, monotonicMs())) return undefined;
      await sleep(ROUTE_POLL_INTERVAL_MS, this.job.signal);
    }
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
