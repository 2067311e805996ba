/** One item of a job: how it asks for a replica. */
import { expect } from 'chai';
import type { PlacementRequest } from '../../../../src/coordination/service/generation/placement.js';
import { SampleLengths } from '../../../../src/coordination/service/generation/sample-lengths.js';
import { ItemRun } from '../../../../src/coordination/service/jobs/item-run.js';
import type { ItemJob, ItemServices } from '../../../../src/coordination/service/jobs/item-services.js';
import type { JobItem, PartialText } from '../../../../src/protocol/service/batch-job.js';
import { RoutingTable, TargetSplitter } from '../../../../src/state/service/configuration/routing-table.js';

const OLDEST_VERSION = 3;

const ITEM: JobItem = {
  id: 'item-1',
  path: '/jobs/1',
  headers: {},
  body: Buffer.alloc(0),
  tokens: 10,
  expectedTokens: undefined,
  group: 'group-1',
  scoring: undefined,
};

/** The rank with which an item asks for a replica, given the text that an earlier owner kept. */
async function rankOf(kept: PartialText | undefined): Promise<number> {
  const routing = new RoutingTable();
  const route = {
    name: 'jobs',
    host: 'h',
    pathPrefix: '/jobs/',
    kind: 'rollout',
    targets: [{ service: 's', weight: 1 }],
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    maxAttempts: 3,
    priority: 1,
    isResumable: false,
    resultDeadlineMs: 7_500,
    maxQueueMs: 30_000,
    isSingleVersion: false,
    isPublic: false,
  } as const;
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  routing.install({ version: 1, routes: [route], services: [], limits, tenants: undefined });
  const controller = new AbortController();
  let asked: PlacementRequest | undefined;
  const placement = {
    acquire: async (request: PlacementRequest) => {
      asked = request;
      controller.abort();
      return undefined;
    },
  };
  const services = {
    routing,
    placement,
    splitter: new TargetSplitter(),
    lengths: new SampleLengths(),
    quarantine: { judge: () => ({ kind: 'clear' }) },
  };
  const job: ItemJob = {
    jobId: 'job-1',
    host: 'h',
    path: '/jobs/',
    tenant: undefined,
    specification: { model: 'm', minVersion: OLDEST_VERSION, desiredGroups: 1, items: [ITEM] },
    acceptedAtMs: performance.now(),
    groupReplicas: new Map(),
    signal: controller.signal,
  };
  await new ItemRun(services as unknown as ItemServices, job, ITEM, kept).run();
  return (asked as PlacementRequest).priority;
}

describe('an item of a job', () => {
  const kept = (version: number): PartialText => ({
    lastEventId: '2',
    events: ['a', 'b'],
    versions: [version],
    isWhole: false,
  });

  it('goes before new ones when an earlier owner has begun it', async () => {
    expect(await rankOf(kept(OLDEST_VERSION))).to.be.lessThan(await rankOf(undefined));
  });

  it('is new when its text was made by a version that the job does not allow', async () => {
    expect(await rankOf(kept(OLDEST_VERSION - 1))).to.equal(await rankOf(undefined));
  });
});
