/**
 * Stand-in of callers: sends requests to an application service and checks that each answer is whole and its
 * own.
 */
import { sleep } from '../../src/common/clock.js';
import { uniqueId } from '../../src/common/identifier.js';
import { Random } from '../../src/common/random.js';
import { HttpClient } from '../../src/transport/http-client.js';

/** What a caller does. */
export interface CallerOptions {
  readonly nodes: readonly string[];
  readonly token: string;
  readonly service: string;
  readonly requests: number;
  readonly pauseMs: number;
  readonly seed: number;
  /** Whether each request carries an Idempotency-Key and is repeated under it until its outcome is known. */
  readonly keyed: boolean;
}

/** What a caller counted. */
export interface CallerReport {
  /** Whole answers to the caller's own request. */
  readonly answers: number;
  /** Answers that were cut or belonged to another request. */
  readonly wrong: number;
  /** Refusals, by code and what they say of execution. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Final outcome by work ID: `answered`, `wrong`, or whether it ran: `no`, `unknown`. */
  readonly outcomes: Readonly<Record<string, string>>;
}

/** Repeats of one request, and the pause before each, milliseconds. Chosen, not measured. */
const MAX_REPEATS = 10;
const REPEAT_DELAY_MS = 200;

interface Attempt {
  readonly outcome: 'answered' | 'wrong' | 'no' | 'unknown' | 'yes';
  readonly code: string;
}

/** One caller. */
export class CallerLoop {
  private readonly client = new HttpClient();
  private readonly random: Random;
  private readonly refusals: Record<string, number> = {};
  private readonly outcomes: Record<string, string> = {};

  constructor(private readonly options: CallerOptions) {
    this.random = new Random(options.seed);
  }

  /** Sends all requests, one after the other. */
  async run(): Promise<CallerReport> {
    for (let index = 0; index < this.options.requests; index += 1) {
      const workId = uniqueId();
      this.outcomes[workId] = await this.request(workId);
      await sleep(this.options.pauseMs);
    }
    await this.client.close();
    const outcomes = Object.values(this.outcomes);
    return {
      answers: outcomes.filter((one) => one === 'answered').length,
      wrong: outcomes.filter((one) => one === 'wrong').length,
      refusals: this.refusals,
      outcomes: this.outcomes,
    };
  }

  private async request(workId: string): Promise<string> {
    const first = await this.attempt(workId);
    const results = [first];
    for (let last = first; this.mayRepeat(last) && results.length <= MAX_REPEATS; results.push(last)) {
      await sleep(REPEAT_DELAY_MS);
      last = await this.attempt(workId);
    }
    const { outcome } = results.at(-1) ?? first;
    if (outcome === 'answered' || outcome === 'wrong') return outcome;
    return results.every((result) => result.outcome === 'no') ? 'no' : 'unknown';
  }

  /** A request that has not run may be repeated; any other only under its key. */
  private mayRepeat({ outcome, code }: Attempt): boolean {
    if (outcome === 'answered' || outcome === 'wrong' || code === 'outcome-unknown') return false;
    return outcome === 'no' || this.options.keyed;
  }

  /** Sends the request once and counts a refusal. */
  private async attempt(workId: string): Promise<Attempt> {
    const attempt = await this.send(workId);
    if (attempt.outcome === 'answered' || attempt.outcome === 'wrong') return attempt;
    const refusal = `${attempt.code} (executed: ${attempt.outcome})`;
    this.refusals[refusal] = (this.refusals[refusal] ?? 0) + 1;
    return attempt;
  }

  private async send(workId: string): Promise<Attempt> {
    const { token, service, keyed, nodes } = this.options;
    const headers: Record<string, string> = { authorization: `Bearer ${token}`, 'x-work-id': workId };
    if (keyed) headers['idempotency-key'] = workId;
    const answer = await this.client.exchange({
      method: 'POST',
      url: `${this.random.pick(nodes)}/services/${service}/work?id=${workId}`,
      headers,
      body: `body of ${workId}`,
    });
    if (answer.isErr())
      return { outcome: answer.error.requestSent ? 'unknown' : 'no', code: answer.error.failure };
    const body = answer.value.body.toString('utf8');
    if (answer.value.status !== 200) return readRefusal(body);
    return { outcome: isOwnAnswer(body, workId) ? 'answered' : 'wrong', code: '' };
  }
}

function readRefusal(body: string): Attempt {
  try {
    const { code, executed } = JSON.parse(body) as { code: string; executed: 'no' | 'unknown' | 'yes' };
    return { outcome: executed, code };
  } catch {
    // Not in the wire format: the caller knows nothing of the request.
    return { outcome: 'unknown', code: 'unreadable' };
  }
}

function isOwnAnswer(body: string, workId: string): boolean {
  try {
    const answer = JSON.parse(body) as { workId: string; body: string };
    return answer.workId === workId && answer.body === `body of ${workId}`;
  } catch {
    // A truncated answer is not the caller's own.
    return false;
  }
}
