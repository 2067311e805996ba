/** The route of an item in the current configuration; one that is missing is awaited for a while. */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import { isRouteRemoved } from '../generation/index.js';
import type { ItemJob, ItemServices } from './item-services.js';

/** Interval of checks for a missing route, milliseconds. Chosen, not measured. */
const ROUTE_POLL_INTERVAL_MS = 100;

/** The route of one item: by its own path, else by that of its job. */
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

  /** Waits for a route; `undefined` when it is gone or the job was stopped. */
  async wait(): Promise<Route | undefined> {
    const waitingSinceMs = monotonicMs();
    for (;;) {
      const route = this.current;
      if (route) return route;
      const isKnown = this.services.routing.current !== undefined;
      if (this.job.signal.aborted) return undefined;
      if (isKnown && isRouteRemoved(waitingSinceMs, monotonicMs())) return undefined;
      await sleep(ROUTE_POLL_INTERVAL_MS, this.job.signal);
    }
  }

  /**
   * The service by which one attempt is placed: `chosen` while the route leads to it, else the next target.
   */
  resolveService(chosen: string | undefined): string | undefined {
    const route = this.current;
    if (route?.targets.some((target) => target.service === chosen)) return chosen;
    return route && this.services.splitter.next(route)?.service;
  }
}
