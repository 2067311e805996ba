/**
 * Stand-in of a model engine: continuous batching with a cost model, a prefix cache in limited memory,
 * priorities, resume and cancel, weight swaps in the middle of streams, swaps that fail partway. Each token's
 * text names the version that produced it and its position, so that a test can check what the system says
 * about it.
 */
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import type {
  EngineChunk,
  EngineCommand,
  EngineRequest,
  EngineState,
} from '../../src/protocol/resource/engine.js';

/** How an engine works and how fast. */
export interface EngineOptions {
  readonly model: string;
  readonly version: number;
  readonly shards: number;
  /** Sequences decoded at a time. */
  readonly maxBatch: number;
  /** Sequences that may wait. */
  readonly maxQueue: number;
  /** Time of a decoding step, and what each running sequence adds to it, milliseconds. */
  readonly stepMs: number;
  readonly stepPerSequenceMs: number;
  /** Time to read one token of a prompt that is not cached, milliseconds. */
  readonly prefillPerTokenMs: number;
  /** Prompts that the prefix cache holds. */
  readonly cachedPrompts: number;
  /** Time of a swap after the weights have been read, milliseconds. */
  readonly swapMs: number;
  /** Lag of the load figures, milliseconds. */
  readonly reportLagMs: number;
  /** Tokens in one event. */
  readonly tokensPerEvent: number;
  /** Median length of an answer, tokens; lengths have a long tail. */
  readonly medianTokens: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  model: '',
  version: 0,
  shards: 4,
  maxBatch: 32,
  maxQueue: 256,
  stepMs: 2,
  stepPerSequenceMs: 0.05,
  prefillPerTokenMs: 0.02,
  cachedPrompts: 256,
  swapMs: 100,
  reportLagMs: 200,
  tokensPerEvent: 8,
  medianTokens: 60,
};

/** Receives the events of a sequence. */
export interface SequenceSink {
  chunk(chunk: EngineChunk): void;
  end(): void;
  cut(): void;
}

/** Why a request was not admitted. */
export type NotAdmitted = 'draining' | 'queue-full' | 'wrong-model' | 'version-too-old' | 'mixed-versions';

interface Sequence {
  readonly request: EngineRequest;
  readonly sink: SequenceSink;
  readonly length: number;
  produced: number;
  /** Tokens that have not been sent yet, all of one version. */
  pendingText: string;
  pendingTokens: number;
  pendingVersion: number;
  readyAtMs: number;
}

const TAIL_SIGMA = 0.8;
const TICK_MS = 5;

/** Length of the answer to a seed: log-normal, so that a few are far longer than the rest. */
function answerLength(seed: number, medianTokens: number, maxTokens: number): number {
  const random = new Random(seed);
  const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
  return Math.max(1, Math.min(maxTokens, Math.round(medianTokens * Math.exp(TAIL_SIGMA * normal))));
}

/** One engine. */
export class Engine {
  private shardVersions: number[];
  private model: string;
  private role: EngineState['role'] = 'serving';
  private fence = 0;
  private swapping = false;
  private running: Sequence[] = [];
  private queue: Sequence[] = [];
  private readonly cache = new Map<string, true>();
  private readonly loadHistory: { atMs: number; running: number; queued: number }[] = [];
  private failingSwaps = 0;
  private lastTickMs = monotonicMs();
  private stepCredit = 0;
  private readonly timer: NodeJS.Timeout;
  /** Tokens produced since the start. */
  tokensProduced = 0;

  constructor(
    readonly options: EngineOptions,
    private readonly readWeights: (object: string) => Promise<boolean>,
  ) {
    this.model = options.model;
    this.shardVersions = Array.from({ length: options.shards }, () => options.version);
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Stops; running sequences are cut. */
  stop(): void {
    clearInterval(this.timer);
    this.cutAll();
  }

  /** The next so many swaps fail after half of the shards. */
  failSwaps(count: number): void {
    this.failingSwaps = count;
  }

  /** Cuts all streams, as a crash of the engine's worker would. */
  cutAll(): void {
    const cut = [...this.running, ...this.queue];
    this.running = [];
    this.queue = [];
    for (const sequence of cut) sequence.sink.cut();
  }

  /** The state, with load figures as they were some time ago. */
  state(): EngineState {
    const due = monotonicMs() - this.options.reportLagMs;
    const reported = this.loadHistory.findLast((one) => one.atMs <= due) ?? { running: 0, queued: 0 };
    return {
      model: this.model,
      shardVersions: [...this.shardVersions],
      role: this.role,
      swapping: this.swapping,
      running: reported.running,
      queued: reported.queued,
      fence: this.fence,
    };
  }

  /** Admits a request, or says why not. */
  admit(request: EngineRequest, sink: SequenceSink): NotAdmitted | undefined {
    if (this.role === 'draining') return 'draining';
    if (request.model !== this.model) return 'wrong-model';
    if (this.isMixed()) return 'mixed-versions';
    if (request.min_version !== undefined && this.version() < request.min_version) return 'version-too-old';
    if (this.queue.length >= this.options.maxQueue) return 'queue-full';
    this.queue.push({
      request,
      sink,
      length: answerLength(request.seed, this.options.medianTokens, request.max_tokens),
      produced: request.resume?.tokens ?? 0,
      pendingText: '',
      pendingTokens: 0,
      pendingVersion: this.version(),
      readyAtMs: 0,
    });
    this.queue.sort((a, b) => b.request.priority - a.request.priority);
    return undefined;
  }

  /** Drops a request. */
  cancel(requestId: string, sink?: SequenceSink): void {
    const keep = (one: Sequence) =>
      one.request.request_id !== requestId || (sink !== undefined && one.sink !== sink);
    this.running = this.running.filter(keep);
    this.queue = this.queue.filter(keep);
  }

  /** Carries out an order; `undefined` when its fence is too low. */
  async order(order: EngineCommand): Promise<EngineState | undefined> {
    if (order.fence < this.fence) return undefined;
    this.fence = order.fence;
    if (order.order === 'role') this.role = order.role;
    else await this.load(order.model, order.version, order.object, order.fence);
    return this.state();
  }

  private async load(model: string, version: number, object: string, fence: number): Promise<void> {
    if (!(await this.readWeights(object)) || fence < this.fence) return;
    this.swapping = true;
    await sleep(this.options.swapMs);
    const isFailing = this.failingSwaps > 0;
    if (isFailing) this.failingSwaps -= 1;
    const swapped = isFailing ? Math.floor(this.shardVersions.length / 2) : this.shardVersions.length;
    this.flushAll();
    this.shardVersions = this.shardVersions.map((before, index) => (index < swapped ? version : before));
    this.model = model;
    this.swapping = false;
    this.cache.clear();
    if (this.isMixed()) this.cutAll();
  }

  private version(): number {
    return this.shardVersions[0] ?? 0;
  }

  private isMixed(): boolean {
    return new Set(this.shardVersions).size > 1;
  }

  private tick(): void {
    const now = monotonicMs();
    const elapsed = Math.min(100, now - this.lastTickMs);
    this.lastTickMs = now;
    this.noteLoad(now);
    if (this.swapping) return;
    this.admitFromQueue(now);
    if (this.running.length === 0) {
      this.stepCredit = 0;
      return;
    }
    this.stepCredit += elapsed / (this.options.stepMs + this.options.stepPerSequenceMs * this.running.length);
    const steps = Math.floor(this.stepCredit);
    this.stepCredit -= steps;
    for (const sequence of [...this.running]) if (sequence.readyAtMs <= now) this.advance(sequence, steps);
    this.running = this.running.filter((one) => one.produced < one.length);
  }

  private admitFromQueue(now: number): void {
    while (this.running.length < this.options.maxBatch && this.queue.length > 0) {
      const sequence = this.queue.shift() as Sequence;
      sequence.readyAtMs = now + this.prefillMs(sequence.request.prompt);
      if (sequence.produced >= sequence.length) this.finish(sequence);
      else this.running.push(sequence);
    }
  }

  /** Time to read a prompt; nothing when it is in the prefix cache, which drops the oldest entries. */
  private prefillMs(prompt: string): number {
    const isCached = this.cache.delete(prompt);
    this.cache.set(prompt, true);
    if (this.cache.size > this.options.cachedPrompts) {
      const [oldest] = this.cache.keys();
      this.cache.delete(oldest as string);
    }
    return isCached ? 0 : (prompt.length / 4) * this.options.prefillPerTokenMs;
  }

  private advance(sequence: Sequence, steps: number): void {
    for (let step = 0; step < steps && sequence.produced < sequence.length; step += 1) {
      sequence.pendingVersion = this.version();
      sequence.pendingText += `v${sequence.pendingVersion}:${sequence.produced} `;
      sequence.pendingTokens += 1;
      sequence.produced += 1;
      this.tokensProduced += 1;
      if (sequence.pendingTokens >= this.eventTokens(sequence)) this.flush(sequence, null);
    }
    if (sequence.produced >= sequence.length) this.finish(sequence);
  }

  private eventTokens(sequence: Sequence): number {
    return sequence.request.event_tokens ?? this.options.tokensPerEvent;
  }

  private flushAll(): void {
    for (const sequence of this.running) if (sequence.pendingTokens > 0) this.flush(sequence, null);
  }

  private flush(sequence: Sequence, reason: EngineChunk['finish_reason']): void {
    sequence.sink.chunk({
      id: sequence.request.request_id,
      text: sequence.pendingText,
      tokens: sequence.pendingTokens,
      weight_version: sequence.pendingVersion,
      finish_reason: reason,
    });
    sequence.pendingText = '';
    sequence.pendingTokens = 0;
  }

  private finish(sequence: Sequence): void {
    const isAtLimit = sequence.length >= sequence.request.max_tokens;
    this.flush(sequence, isAtLimit ? 'length' : 'stop');
    sequence.sink.end();
  }

  private noteLoad(atMs: number): void {
    this.loadHistory.push({ atMs, running: this.running.length, queued: this.queue.length });
    while (
      this.loadHistory.length > 2 &&
      (this.loadHistory[1]?.atMs ?? 0) < atMs - this.options.reportLagMs
    ) {
      this.loadHistory.shift();
    }
  }
}
