/**
 * Distributes requests among the targets of a route by smooth weighted round robin, which keeps the shares
 * even over few requests. A route starts over when its targets or weights change.
 */
import type { Route, RouteTarget } from '../../../protocol/service/routing-configuration.js';

/** Bounds the memory: beyond it the state of all routes is dropped. */
const MAX_TRACKED_ROUTES = 1_000;

export class TargetSplitter {
  private readonly credits = new Map<string, Map<string, number>>();

  /** The target of the next request; `undefined` when the route has none. */
  next(route: Route): RouteTarget | undefined {
    if (route.targets.length <= 1) return route.targets[0];
    const credits = this.creditsOf(route);
    let selected: RouteTarget | undefined;
    let total = 0;
    for (const target of route.targets) {
      total += target.weight;
      const credit = (credits.get(target.service) ?? Math.random() * target.weight) + target.weight;
      credits.set(target.service, credit);
      if (target.weight > 0 && (!selected || credit > (credits.get(selected.service) ?? 0)))
        selected = target;
    }
    if (selected) credits.set(selected.service, (credits.get(selected.service) ?? 0) - total);
    return selected;
  }

  private creditsOf(route: Route): Map<string, number> {
    const key = `${route.name} ${route.targets.map((target) => `${target.service}=${target.weight}`).join()}`;
    const existing = this.credits.get(key);
    if (existing) return existing;
    if (this.credits.size > MAX_TRACKED_ROUTES) this.credits.clear();
    const created = new Map<string, number>();
    this.credits.set(key, created);
    return created;
  }
}
