/** Tests of what an item does before its first attempt. */
import { expect } from 'chai';
import { LengthEstimator } from '../../../../src/coordination/service/generation/length-estimator.js';
import type { PlacementRequest } from '../../../../src/coordination/service/generation/placement.js';
import { ItemRun } from '../../../../src/coordination/service/jobs/item-run.js';
import type { ItemJob, ItemServices } from '../../../../src/coordination/service/jobs/item-services.js';
import type { JobGateVerdict } from '../../../../src/coordination/service/jobs/job-gate.js';
import type { JobItem, PartialText } from '../../../../src/protocol/service/batch-job.js';
import { RoutingTable, TargetSplitter } from '../../../../src/state/service/configuration/index.js';

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

function routingToJobs(): RoutingTable {
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
  return routing;
}

function servicesWith(fields: object): ItemServices {
  const services = {
    routing: routingToJobs(),
    splitter: new TargetSplitter(),
    lengths: new LengthEstimator(),
    quarantine: { evaluate: () => ({ kind: 'clear' }) },
    ...fields,
  };
  return services as unknown as ItemServices;
}

function jobWith(signal: AbortSignal): ItemJob {
  return {
    jobId: 'job-1',
    host: 'h',
    path: '/jobs/',
    tenant: undefined,
    specification: { model: 'm', minVersion: OLDEST_VERSION, desiredGroups: 1, items: [ITEM] },
    acceptedAtMs: performance.now(),
    groupReplicas: new Map(),
    signal,
  };
}

/** Priority with which an item is placed, given the text that an earlier owner stored. */
async function priorityOf(storedText: PartialText | undefined): Promise<number> {
  const controller = new AbortController();
  let placed: PlacementRequest | undefined;
  const placement = {
    acquire: async (request: PlacementRequest) => {
      placed = request;
      controller.abort();
      return undefined;
    },
  };
  await new ItemRun(servicesWith({ placement }), jobWith(controller.signal), ITEM, storedText).run();
  return (placed as PlacementRequest).priority;
}

describe('ItemRun', () => {
  const storedText = (version: number): PartialText => ({
    lastEventId: '2',
    events: ['a', 'b'],
    versions: [version],
    isWhole: false,
  });

  it('places an item that an earlier owner started before new items', async () => {
    expect(await priorityOf(storedText(OLDEST_VERSION))).to.be.lessThan(await priorityOf(undefined));
  });

  it('treats an item as new when its stored text is of a weight version that the job does not allow', async () => {
    expect(await priorityOf(storedText(OLDEST_VERSION - 1))).to.equal(await priorityOf(undefined));
  });

  it('gives its slot back without an attempt while its job is not confirmed to be open', async () => {
    const controller = new AbortController();
    const state = {};
    const released: unknown[] = [];
    const verdicts: JobGateVerdict[] = ['unconfirmed', 'unconfirmed', 'ended'];
    const jobGate = {
      check: () => {
        const verdict = verdicts.shift();
        if (verdict === 'ended') controller.abort();
        return verdict;
      },
    };
    const placement = {
      acquire: async () => state,
      release: (given: unknown) => released.push(given),
    };
    const services = servicesWith({ placement, jobGate });
    expect(await new ItemRun(services, jobWith(controller.signal), ITEM, undefined).run()).to.equal(
      undefined,
    );
    expect(released).to.deep.equal([state, state, state]);
    expect(verdicts).to.deep.equal([]);
  });
});
