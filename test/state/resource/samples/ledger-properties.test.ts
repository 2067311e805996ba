/**
 * Property test of the sample ledger with lost leases, lost responses, repeated, reordered and delayed draws, and
 * versions published concurrently: the trainer must receive every slot exactly once.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { sleep } from '../../../../src/common/clock.js';
import { uniqueId } from '../../../../src/common/identifier.js';
import { Random } from '../../../../src/common/random.js';
import type { Batch, DrawRequest } from '../../../../src/protocol/resource/trainer.js';
import { type HeldLease, LeaseStore } from '../../../../src/state/resource/leases/lease-store.js';
import { BatchLedger } from '../../../../src/state/resource/samples/batch-ledger.js';
import type { DrawOptions } from '../../../../src/state/resource/samples/draw-rules.js';
import { formatSampleId } from '../../../../src/state/resource/samples/ledger-rows.js';
import { RolloutLedger, type SlotTask } from '../../../../src/state/resource/samples/rollout-ledger.js';
import { SampleCommits } from '../../../../src/state/resource/samples/sample-commits.js';
import type { Table } from '../../../../src/state/resource/tables/row-table.js';
import { FaultyStore, MemoryObjects, rowsOver } from '../../../support/faulty-platform.js';

const MODEL = 'm';
const TRAINER = 't';
const ROLLOUT = 'r';
const SLOTS = 8;
const BOUND = 1;
const TERMS: DrawOptions = { trainer: TRAINER, models: [MODEL], stalenessBound: BOUND, batchSize: 3 };
const LEASE = 'rollouts/t/0';
const FAULT_SHARE = 0.15;
const STEPS = 60;
/** Rounds without faults within which the remaining slots must be delivered. */
const FAULT_FREE_ROUNDS = 50;

/** Seeds that have failed before. */
const REGRESSION_SEEDS = [481_340];

/** One trainer and two shard owners over a store with injected faults; draws may be delayed. */
class Schedule {
  private readonly random: Random;
  private readonly store: FaultyStore;
  private readonly table: Table;
  private readonly rollouts: RolloutLedger;
  private readonly commits: SampleCommits;
  private readonly batches: BatchLedger;
  private readonly owners: { store: LeaseStore; lease: HeldLease | undefined }[] = [];
  private readonly delayed: DrawRequest[] = [];
  private version = 1;
  private cursor = 1;
  private sequence = 0;
  private lastBatch: Batch | undefined;
  private readonly trained = new Map<string, number>();
  readonly problems: string[] = [];

  constructor(seed: number) {
    this.random = new Random(seed);
    this.store = new FaultyStore(this.random);
    this.table = rowsOver(this.store);
    const objects = new MemoryObjects();
    this.rollouts = new RolloutLedger(this.table, objects);
    this.commits = new SampleCommits(this.table, objects);
    this.batches = new BatchLedger(this.table, objects);
    for (const id of ['a', 'b']) {
      this.owners.push({ store: new LeaseStore(rowsOver(this.store), id, uniqueId(), 1), lease: undefined });
    }
  }

  async run(): Promise<void> {
    await this.publish(1);
    const prompts = Array.from({ length: SLOTS }, (_, index) => `p${index}`);
    await this.rollouts.submit(
      TRAINER,
      { rolloutId: ROLLOUT, model: MODEL, prompts, samplesPerPrompt: 1, maxTokens: 1 },
      1,
    );
    this.store.faultShare = FAULT_SHARE;
    for (let step = 0; step < STEPS; step += 1) await this.step();
    this.store.faultShare = 0;
    for (let round = 0; round < FAULT_FREE_ROUNDS && this.trained.size < SLOTS; round += 1)
      await this.runFaultFreeRound();
    if (this.trained.size < SLOTS) this.problems.push(`delivered ${this.trained.size} of ${SLOTS} slots`);
    await this.draw('received');
  }

  /** Slots that were delivered more than once. */
  duplicates(): string[] {
    return [...this.trained].filter(([, count]) => count > 1).map(([slot]) => slot);
  }

  /** One operation of the trainer, concurrent with operations of owners and delayed draws. */
  private async step(): Promise<void> {
    const others = Array.from({ length: this.random.integer(4) }, () => {
      const choice = this.random.integer(6);
      if (choice < 4) return this.generate(this.random.integer(2));
      return choice < 5 ? this.handleDelayed() : this.acquire(this.random.integer(2));
    });
    const choice = this.random.integer(5);
    const fate = this.random.pick(['received', 'received', 'lost', 'delayed'] as const);
    await Promise.all([...others, choice < 4 ? this.draw(fate) : this.publish(this.version + 1)]);
  }

  private async runFaultFreeRound(): Promise<void> {
    await this.acquire(0);
    await sleep(2);
    await this.acquire(0);
    for (let count = 0; count < SLOTS; count += 1) await this.generate(0);
    await this.draw('received');
  }

  private async acquire(index: number): Promise<void> {
    const owner = this.owners[index];
    if (!owner) return;
    await owner.store.renew();
    const acquired = await owner.store.tryAcquire(LEASE);
    if (acquired.isOk() && acquired.value) owner.lease = acquired.value;
  }

  /** An owner commits a sample of a random slot; its lease may already be lost. */
  private async generate(index: number): Promise<void> {
    const lease = this.owners[index]?.lease;
    const loaded = await this.rollouts.load(TRAINER, ROLLOUT);
    if (!lease || loaded.isErr() || !loaded.value) return;
    const free = await this.rollouts.freeSlots(TRAINER, loaded.value, 0);
    const expired = await this.rollouts.regenerations(TRAINER, 0);
    if (free.isErr() || expired.isErr()) return;
    const tasks = [...expired.value, ...free.value];
    if (tasks.length === 0) return;
    await this.commit(lease, this.random.pick(tasks), loaded.value.rowVersion);
  }

  private async commit(lease: HeldLease, task: SlotTask, rolloutVersion: number): Promise<void> {
    const sampleId = formatSampleId({ trainer: TRAINER, ...task });
    const segments = [{ version: this.version, firstToken: 0, tokenCount: 1, engine: 'e' }];
    const sample = { sampleId, rolloutId: ROLLOUT, model: MODEL, promptIndex: task.slot, sampleIndex: 0 };
    await this.commits.commit(TRAINER, lease, [
      {
        task,
        shard: 0,
        rolloutVersion,
        sample: { ...sample, text: uniqueId(), segments, finishReason: 'stop' },
        decision: {
          requestId: uniqueId(),
          node: 'n',
          epoch: 1,
          configRevision: 1,
          reason: '',
          engines: ['e'],
        },
      },
    ]);
  }

  private nextRequest(): DrawRequest {
    this.sequence += 1;
    const previous = this.lastBatch
      ? { attempt: this.lastBatch.attempt, digest: this.lastBatch.digest }
      : undefined;
    return { cursor: this.cursor, sequence: this.sequence, versions: { [MODEL]: this.version }, previous };
  }

  /** The trainer draws its next batch. */
  private async draw(fate: 'received' | 'lost' | 'delayed'): Promise<void> {
    const request = this.nextRequest();
    if (fate === 'delayed') {
      this.delayed.push(request);
      return;
    }
    const answer = await this.batches.draw(TERMS, request);
    if (fate === 'lost' || answer.isErr()) {
      if (answer.isErr() && answer.error.failure === 'conflict') {
        this.problems.push(`request ${request.sequence}: ${answer.error.message}`);
      }
      return;
    }
    const { batch } = answer.value;
    // A received batch is acknowledged by the next draw, so its samples count as delivered.
    if (batch.samples.length === 0) return;
    for (const sample of batch.samples) {
      const slot = String(sample.promptIndex);
      this.trained.set(slot, (this.trained.get(slot) ?? 0) + 1);
      const oldest = Math.min(...sample.segments.map((segment) => segment.version));
      if (this.version - oldest > BOUND) this.problems.push(`${sample.sampleId} exceeds the staleness bound`);
    }
    this.lastBatch = batch;
    this.cursor = batch.cursor + 1;
  }

  /** Handles a request long after the trainer has timed it out, as a resumed node would. */
  private async handleDelayed(): Promise<void> {
    const [request] = this.delayed.splice(this.random.integer(Math.max(1, this.delayed.length)), 1);
    if (request) await this.batches.draw(TERMS, request);
  }

  private async publish(version: number): Promise<void> {
    const rows = await this.table.read([`published/${MODEL}`]);
    if (rows.isErr()) return;
    const written = await this.table.transact({
      conditions: [{ key: `published/${MODEL}`, version: rows.value[0]?.version ?? 0 }],
      writes: [{ key: `published/${MODEL}`, value: { version } }],
    });
    if (written.isOk() || written.error.effect === 'unknown') this.version = version;
  }
}

describe('sample ledger', () => {
  it('delivers every slot exactly once and within the staleness bound under random faults', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), async (seed) => {
        const schedule = new Schedule(seed);
        await schedule.run();
        expect(schedule.problems).to.deep.equal([]);
        expect(schedule.duplicates()).to.deep.equal([]);
      }),
      { numRuns: 1_500, seed: 42, examples: REGRESSION_SEEDS.map((seed) => [seed]) },
    );
  });
});
