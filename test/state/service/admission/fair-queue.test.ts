/** Tests of the queue order of a service, with fixed and random loads, and of flow usage. */
import { expect } from 'chai';
import fc from 'fast-check';
import { FairQueue, type QueuedRequest } from '../../../../src/state/service/admission/fair-queue.js';
import { FlowUsage } from '../../../../src/state/service/admission/flow-usage.js';

const SEED = 20_261_204;
const RUNS = 300;
const WORK_MS = 40;
const BOUNDS = { count: 10_000, bytes: 1e9 };

interface Named extends QueuedRequest {
  readonly name: string;
}

const waiting = (fields: Partial<Named> = {}): Named => ({
  name: 'w',
  priority: 1,
  flow: 'p',
  isBackground: false,
  sinceMs: 0,
  targetAtMs: 200,
  deadlineMs: 800,
  serviceTimeMs: WORK_MS,
  bytes: 100,
  ...fields,
});

const at = (nowMs: number) => nowMs;

describe('FairQueue', () => {
  const listOf = (entries: readonly Named[], usage = new FlowUsage()) => {
    const list = new FairQueue<Named>(usage, BOUNDS);
    for (const entry of entries) list.add(entry, at(0));
    return list;
  };

  it('serves the most urgent priority first regardless of target and usage', () => {
    const urgent = waiting({ priority: 0, targetAtMs: -500, flow: 'heavy' });
    const usage = new FlowUsage();
    usage.add('heavy', 5_000, 0);
    expect(listOf([waiting(), urgent, waiting()], usage).next(at(0))).to.equal(urgent);
  });

  it('serves requests that can meet their latency target before requests that cannot', () => {
    const late = waiting({ targetAtMs: 100, deadlineMs: 400 });
    const inTime = waiting({ targetAtMs: 300, deadlineMs: 900 });
    expect(listOf([late, inTime]).next(at(80))).to.equal(inTime);
    expect(listOf([late, inTime]).next(at(0))).to.equal(late);
  });

  it('serves the flow with the least usage first, then the earliest deadline', () => {
    const usage = new FlowUsage();
    usage.add('heavy', 500, 0);
    const soonest = waiting({ flow: 'light', deadlineMs: 500 });
    const list = listOf(
      [waiting({ flow: 'heavy', deadlineMs: 300 }), waiting({ flow: 'light' }), soonest],
      usage,
    );
    expect(list.next(at(0))).to.equal(soonest);
  });

  it('reserves every fourth slot for background requests and every 25th for other priorities', () => {
    const served = new Map<string, number>();
    const list = new FairQueue<Named>(new FlowUsage(), BOUNDS);
    const fill = (name: string, fields: Partial<Named>) => {
      for (let count = 0; count < 400; count += 1) list.add(waiting({ name, ...fields }), at(0));
    };
    fill('urgent', { priority: 0 });
    fill('background', { priority: 0, isBackground: true });
    fill('low', { priority: 5 });
    for (let turn = 0; turn < 200; turn += 1) {
      const next = list.next(at(0)) as Named;
      list.remove(next);
      list.recordSlotAssigned();
      served.set(next.name, (served.get(next.name) ?? 0) + 1);
    }
    expect(served.get('low')).to.equal(8);
    expect(served.get('background')).to.equal(48);
    expect(served.get('urgent')).to.equal(144);
  });

  it('drops the last request in order beyond the count limit, even if it is the newest', () => {
    const list = new FairQueue<Named>(new FlowUsage(), { count: 2, bytes: 1e9 });
    const low = waiting({ priority: 3 });
    expect(list.add(low, at(0))).to.equal(undefined);
    expect(list.add(waiting(), at(0))).to.equal(undefined);
    expect(list.add(waiting({ priority: 0 }), at(0))).to.equal(low);
    const lowest = waiting({ priority: 9 });
    expect(list.add(lowest, at(0))).to.equal(lowest);
    expect(list.size).to.equal(2);
  });

  it('limits the queued bytes', () => {
    const list = new FairQueue<Named>(new FlowUsage(), { count: 100, bytes: 1_000 });
    for (let count = 0; count < 9; count += 1) list.add(waiting({ bytes: 300 }), at(0));
    expect(list.size).to.equal(3);
  });

  it('serves every queued request and bounds the work queued ahead under random loads', () => {
    const randomRequests = fc.array(
      fc.record({
        priority: fc.nat(3),
        flow: fc.constantFrom('a', 'b', 'c'),
        isBackground: fc.boolean(),
        sinceMs: fc.nat(1_000),
        targetAtMs: fc.nat(2_000),
        deadlineMs: fc.nat(4_000),
      }),
      { minLength: 1, maxLength: 30 },
    );
    fc.assert(
      fc.property(randomRequests, fc.nat(2_000), (entries, nowMs) => {
        const list = listOf(entries.map((fields) => waiting(fields)));
        let left = list.size;
        while (left > 0) {
          const next = list.next(at(nowMs)) as Named;
          expect(list.queuedAheadMs(next, at(nowMs))).to.be.at.most((left - 1) * WORK_MS);
          expect(list.remove(next)).to.equal(true);
          list.recordSlotAssigned();
          left -= 1;
        }
        expect(list.next(at(nowMs))).to.equal(undefined);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});

/** Requests of one flow at a constant rate. */
interface Demand {
  readonly flow: string;
  readonly priority: number;
  readonly perSecond: number;
}

/**
 * Simulates `slots` slots with `WORK_MS` per request. Counts arrived, served and in-target requests per
 * demand.
 */
function serve(demands: readonly Demand[], slots: number, seconds: number) {
  const usage = new FlowUsage();
  const list = new FairQueue<Named>(usage, BOUNDS);
  const tallies = demands.map(() => ({ arrived: 0, inTarget: 0, served: 0 }));
  const freeAtMs = Array.from({ length: slots }, () => 0);
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 1) {
    for (const [index, { flow, priority, perSecond }] of demands.entries()) {
      const due = Math.floor(((nowMs + 1) * perSecond) / 1_000) - Math.floor((nowMs * perSecond) / 1_000);
      for (let count = 0; count < due; count += 1) {
        const times = { sinceMs: nowMs, targetAtMs: nowMs + 200, deadlineMs: nowMs + 800 };
        list.add(waiting({ name: String(index), flow, priority, ...times }), at(nowMs));
        (tallies[index] as { arrived: number }).arrived += 1;
      }
    }
    for (const entry of [...list]) if (entry.deadlineMs < nowMs + WORK_MS) list.remove(entry);
    for (const [slot, freeMs] of freeAtMs.entries()) {
      if (freeMs > nowMs) continue;
      const next = list.next(at(nowMs));
      if (!next) break;
      list.remove(next);
      list.recordSlotAssigned();
      usage.add(next.flow, WORK_MS, nowMs);
      freeAtMs[slot] = nowMs + WORK_MS;
      const tally = tallies[Number(next.name)] as { inTarget: number; served: number };
      tally.served += 1;
      if (nowMs + WORK_MS <= next.targetAtMs) tally.inTarget += 1;
    }
  }
  return tallies;
}

describe('FairQueue under overload', () => {
  const SLOTS = 8;
  const CAPACITY_PER_SECOND = (SLOTS * 1_000) / WORK_MS;

  for (const factor of [5, 20])
    it(`meets the target of high priority and still serves low priority at ${factor} times the capacity`, () => {
      const total = CAPACITY_PER_SECOND * factor;
      const [high, low] = serve(
        [
          { flow: 'high', priority: 0, perSecond: total / 10 },
          { flow: 'low', priority: 1, perSecond: (total * 9) / 10 },
        ],
        SLOTS,
        10,
      );
      const capacity = Math.min(high?.arrived ?? 0, CAPACITY_PER_SECOND * 10);
      expect((high?.inTarget ?? 0) / capacity).to.be.at.least(0.95);
      expect(low?.served).to.be.greaterThan(0);
    });

  it('keeps 95% of the throughput of 20 flows beside a flow with a hundred times their demand', () => {
    const others = Array.from({ length: 20 }, (_, index) => ({
      flow: `p${index}`,
      priority: 1,
      perSecond: 6,
    }));
    const heavy = { flow: 'heavy', priority: 1, perSecond: 600 };
    const alone = serve(others, SLOTS, 10).reduce((sum, { inTarget }) => sum + inTarget, 0);
    const contended = serve([...others, heavy], SLOTS, 10);
    const left = contended.slice(0, -1).reduce((sum, { inTarget }) => sum + inTarget, 0);
    expect(left / alone).to.be.at.least(0.95);
    expect(contended.at(-1)?.served, 'unused capacity goes to any flow').to.be.greaterThan(
      CAPACITY_PER_SECOND,
    );
  });

  it('serves equal flows equally beyond the capacity, with a Jain index of at least 0.95', () => {
    const demands = Array.from({ length: 30 }, (_, index) => ({
      flow: `p${index}`,
      priority: 1,
      perSecond: 20,
    }));
    const served = serve(demands, SLOTS, 10).map((one) => one.served);
    const sum = served.reduce((total, one) => total + one, 0);
    const squares = served.reduce((total, one) => total + one * one, 0);
    expect(sum ** 2 / (served.length * squares)).to.be.at.least(0.95);
  });

  it('meets as many latency targets at ten times the capacity as at the capacity', () => {
    const total = (factor: number) =>
      serve([{ flow: 'p', priority: 1, perSecond: CAPACITY_PER_SECOND * factor }], SLOTS, 10)[0]?.inTarget ??
      0;
    expect(total(10) / total(1)).to.be.at.least(0.95);
  });
});

describe('FlowUsage', () => {
  it('halves usage every second and evicts negligible flows', () => {
    const usage = new FlowUsage();
    usage.add('a', 800, 0);
    expect(usage.of('a', 1_000)).to.equal(400);
    usage.add('b', 10, 20_000);
    usage.add('c', 10, 20_001);
    expect(usage.of('a', 20_000)).to.equal(0);
    expect(usage.size).to.equal(2);
  });

  it('keeps a bounded number of flows', () => {
    const usage = new FlowUsage();
    for (let index = 0; index < 100_500; index += 1) usage.add(`flow-${index}`, 1_000, 0);
    expect(usage.size).to.be.at.most(100_001);
  });
});
