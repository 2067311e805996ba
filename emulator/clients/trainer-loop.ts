/**
 * Stand-in of a trainer: submits steps, draws samples through changing nodes, publishes versions, and counts
 * what it received. The counts come from the samples alone, not from what the service says of itself.
 */
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import type { Batch, Sample } from '../../src/protocol/resource/trainer.js';
import { HttpClient } from '../../src/transport/http-client.js';
import { TrainerClient } from './trainer-client.js';

/** What a trainer does. */
export interface TrainerOptions {
  readonly trainer: string;
  readonly token: string;
  readonly model: string;
  readonly nodes: readonly string[];
  readonly stalenessBound: number;
  readonly steps: number;
  readonly promptsPerStep: number;
  readonly samplesPerPrompt: number;
  readonly maxTokens: number;
  readonly seed: number;
  /** Version that the engines hold at the start. */
  readonly firstVersion: number;
  /** Time that a step of training takes, milliseconds. */
  readonly trainMs: number;
  /** Longest time of a run, milliseconds. */
  readonly timeoutMs: number;
  /** Name that keeps the rollouts of several runs apart. */
  readonly runName: string;
}

/** What a trainer counted. */
export interface TrainerReport {
  readonly samplesDelivered: number;
  readonly duplicates: number;
  readonly missing: number;
  /**
   * Versions by which the oldest segment of a sample lagged behind the newest version at its receipt, at
   * most.
   */
  readonly maxStaleness: number;
  readonly meanStaleness: number;
  /** Segments whose version differs from what the tokens themselves say. */
  readonly wrongVersions: number;
  /** Time spent waiting for samples, milliseconds. */
  readonly idleMs: number;
  readonly totalMs: number;
}

const DRAW_WAIT_MS = 1_000;
const RETRY_DELAY_MS = 100;

/**
 * Versions that the tokens of a sample name; the engines' stand-in writes `v{version}:{position}` for each.
 */
export function versionsInText(text: string): number[] {
  return text
    .trim()
    .split(/\s+/)
    .filter(Boolean)
    .map((token) => Number(/^v(-?\d+):/.exec(token)?.[1]));
}

/** Whether a sample's segments name, token by token, the versions that produced it. */
export function namesTrueVersions(sample: Sample): boolean {
  const produced = versionsInText(sample.text);
  const claimed = sample.segments.flatMap((one) => Array.from({ length: one.tokenCount }, () => one.version));
  return produced.length === claimed.length && produced.every((version, index) => version === claimed[index]);
}

let lastSequence = Date.now();

/** A number for the next draw: it grows with each request, also over restarts of the trainer. */
export function nextSequence(): number {
  lastSequence += 1;
  return lastSequence;
}

/** One trainer. */
export class TrainerLoop {
  private readonly client = new HttpClient();
  private readonly random: Random;
  private readonly received = new Map<string, number>();
  private cursor = 1;
  private previous: { attempt: number; digest: string } | undefined;
  private version: number;
  private idleMs = 0;
  private stalenessSum = 0;
  private maxStaleness = 0;
  private wrongVersions = 0;
  private startedAtMs = 0;

  constructor(private readonly options: TrainerOptions) {
    this.random = new Random(options.seed);
    this.version = options.firstVersion;
  }

  /** Runs all steps. */
  async run(): Promise<TrainerReport> {
    this.startedAtMs = monotonicMs();
    for (let step = 0; step < this.options.steps && !this.isOutOfTime(); step += 1) {
      await this.submit(step);
      await this.collect(step);
      await sleep(this.options.trainMs);
      await this.publish();
    }
    await this.acknowledgeLast();
    await this.client.close();
    return this.report();
  }

  private isOutOfTime(): boolean {
    return monotonicMs() - this.startedAtMs > this.options.timeoutMs;
  }

  /** A client at a node chosen anew each time: any node must do. */
  private anyNode(): TrainerClient {
    const { nodes, trainer, token } = this.options;
    return new TrainerClient(this.client, this.random.pick(nodes), trainer, token);
  }

  private rolloutId(step: number): string {
    return `${this.options.runName}-${step}`;
  }

  private async untilDone(call: () => Promise<{ isOk(): boolean }>): Promise<void> {
    while (!this.isOutOfTime()) {
      if ((await call()).isOk()) return;
      await sleep(RETRY_DELAY_MS);
    }
  }

  private submit(step: number): Promise<void> {
    const { model, promptsPerStep, samplesPerPrompt, maxTokens, seed } = this.options;
    const prompts = Array.from({ length: promptsPerStep }, (_, index) => `step ${step}, prompt ${index}`);
    const submission = { rolloutId: this.rolloutId(step), model, prompts, samplesPerPrompt, maxTokens, seed };
    return this.untilDone(() => this.anyNode().submit(submission));
  }

  private async collect(step: number): Promise<void> {
    const wanted = this.options.promptsPerStep * this.options.samplesPerPrompt;
    let got = 0;
    while (got < wanted && !this.isOutOfTime()) {
      const askedAt = monotonicMs();
      const batch = await this.draw();
      this.idleMs += monotonicMs() - askedAt;
      if (!batch) await sleep(RETRY_DELAY_MS);
      else got += this.take(batch, this.rolloutId(step));
    }
  }

  private async draw(): Promise<Batch | undefined> {
    const drawn = await this.anyNode().draw({
      cursor: this.cursor,
      sequence: nextSequence(),
      versions: { [this.options.model]: this.version },
      waitMs: DRAW_WAIT_MS,
      ...(this.previous ? { previous: this.previous } : {}),
    });
    return drawn.isOk() ? drawn.value : undefined;
  }

  /** Counts a batch; returns how many of its samples belong to the rollout. */
  private take(batch: Batch, rolloutId: string): number {
    if (batch.samples.length === 0) return 0;
    for (const sample of batch.samples) this.count(sample);
    this.previous = { attempt: batch.attempt, digest: batch.digest };
    this.cursor = batch.cursor + 1;
    return batch.samples.filter((sample) => sample.rolloutId === rolloutId).length;
  }

  private count(sample: Sample): void {
    const slot = `${sample.rolloutId}/${sample.promptIndex}/${sample.sampleIndex}`;
    this.received.set(slot, (this.received.get(slot) ?? 0) + 1);
    const staleness = this.version - Math.min(...versionsInText(sample.text));
    this.stalenessSum += staleness;
    this.maxStaleness = Math.max(this.maxStaleness, staleness);
    if (!namesTrueVersions(sample)) this.wrongVersions += 1;
  }

  private async publish(): Promise<void> {
    const next = this.version + 1;
    const { model } = this.options;
    // The trainer holds the new version from the moment at which it publishes it.
    this.version = next;
    await this.untilDone(async () => {
      const published = await this.anyNode().publish(model, next, `${model}/${next}`);
      // An earlier try may have taken effect although its answer was lost.
      if (published.isErr() && published.error.failure === 'conflict') return { isOk: () => true };
      return published;
    });
  }

  private async acknowledgeLast(): Promise<void> {
    const { previous } = this;
    if (previous)
      await this.untilDone(() => this.anyNode().acknowledge({ cursor: this.cursor - 1, ...previous }));
  }

  private report(): TrainerReport {
    const { steps, promptsPerStep, samplesPerPrompt } = this.options;
    const counts = [...this.received.values()];
    const delivered = counts.reduce((sum, count) => sum + count, 0);
    return {
      samplesDelivered: delivered,
      duplicates: counts.filter((count) => count > 1).length,
      missing: steps * promptsPerStep * samplesPerPrompt - counts.length,
      maxStaleness: this.maxStaleness,
      meanStaleness: delivered === 0 ? 0 : this.stalenessSum / delivered,
      wrongVersions: this.wrongVersions,
      idleMs: Math.round(this.idleMs),
      totalMs: Math.round(monotonicMs() - this.startedAtMs),
    };
  }
}
