/** Guards against items that are dead at a node whose configuration is older than their job, or lacks their route briefly. */
import { expect } from 'chai';
import { ItemRoute } from '../../../../src/coordination/service/jobs/item-route.js';
import type { ItemServices } from '../../../../src/coordination/service/jobs/item-services.js';

const GRACE_MS = 3_000;

describe('ItemRoute', () => {
  let nowMs: number;
  let hasRoute: boolean;
  let isConfigured: boolean;
  let isCurrent: boolean;
  let route: ItemRoute;

  beforeEach(() => {
    nowMs = 0;
    hasRoute = false;
    isConfigured = true;
    isCurrent = true;
    const match = () => (hasRoute ? { name: 'jobs' } : undefined);
    const routing = {
      get current() {
        return isConfigured ? { match } : undefined;
      },
    };
    const services = { routing, splitter: {}, isConfigurationCurrent: () => isCurrent };
    const job = { host: 'h', path: '/jobs/', signal: new AbortController().signal };
    route = new ItemRoute(services as unknown as ItemServices, job, { path: '/jobs/1' }, () => nowMs);
  });

  /** Whether the route counts as removed after it was missing for longer than the grace period. */
  function isRemovedAfterGrace(): boolean {
    route.isRemoved();
    nowMs += GRACE_MS + 1;
    return route.isRemoved();
  }

  it('counts as removed when it is missing for longer than a brief gap', () => {
    expect(route.isRemoved()).to.equal(false);
    nowMs += GRACE_MS;
    expect(route.isRemoved()).to.equal(false);
    nowMs += 1;
    expect(route.isRemoved()).to.equal(true);
  });

  it('measures a gap from its own beginning', () => {
    route.isRemoved();
    nowMs += GRACE_MS;
    hasRoute = true;
    route.isRemoved();
    hasRoute = false;
    nowMs += 1;
    expect(route.isRemoved()).to.equal(false);
  });

  it('does not count as removed while the configuration may be older than the job', () => {
    isCurrent = false;
    expect(isRemovedAfterGrace()).to.equal(false);
    isCurrent = true;
    expect(route.isRemoved()).to.equal(true);
  });

  it('does not count as removed while no configuration is known', () => {
    isConfigured = false;
    expect(isRemovedAfterGrace()).to.equal(false);
  });
});
