/** Guards against finished items that are dead since their scoring call had no route, or met another service. */
import { expect } from 'chai';
import { SampleScorer } from '../../../../src/coordination/service/generation/index.js';
import type { ScoringOutcome } from '../../../../src/coordination/service/generation/sample-scorer.js';
import type { RelayOutcome, ServiceRelay } from '../../../../src/coordination/service/requests/index.js';
import type { RoutingTable } from '../../../../src/state/service/configuration/index.js';
import { until } from '../../../support/wait.js';

const MAX_ATTEMPTS = 3;
const CALL = { id: 'call-1', host: 'h', path: '/score/', body: Buffer.alloc(0) };
const ROUTE = {
  name: 'score',
  maxAttempts: MAX_ATTEMPTS,
  timeoutMs: 1_000,
  priority: 1,
  targetLatencyMs: 100,
};
/** Looks at the configuration that take longer than 3 s. */
const LOOKS = 20;
const SUCCESS: RelayOutcome = {
  kind: 'answered',
  answer: { status: 200, headers: {}, body: Buffer.alloc(0), signature: 'signed', isFramed: true },
  attempts: [],
};

function answered(status: number): RelayOutcome {
  return {
    kind: 'answered',
    answer: { status, headers: {}, body: Buffer.alloc(0), signature: 'signed', isFramed: true },
    attempts: [],
  };
}

const REFUSED: RelayOutcome = { kind: 'refused', reason: 'full', retryAfterMs: 1, attempts: [] };
const TIMED_OUT: RelayOutcome = { kind: 'failed', reason: 'late', isTimeout: true, attempts: [] };

/** One scoring call, whose sends are answered by `outcome`. */
class Scoring {
  route: typeof ROUTE | undefined = ROUTE;
  outcome: RelayOutcome = SUCCESS;
  mayGiveUp = false;
  looks = 0;
  sends = 0;
  result: ScoringOutcome | undefined;
  private readonly controller = new AbortController();

  constructor(fields: Partial<Pick<Scoring, 'route' | 'outcome' | 'mayGiveUp'>>) {
    Object.assign(this, fields);
  }

  start(): this {
    const match = () => {
      this.looks += 1;
      return this.route;
    };
    const relay = async () => {
      this.sends += 1;
      return this.outcome;
    };
    const scorer = new SampleScorer(
      { current: { match, version: 1 } } as unknown as RoutingTable,
      { relay } as unknown as ServiceRelay,
    );
    const { signal } = this.controller;
    const job = { jobId: 'job-1', signal, mayBegin: () => true, mayGiveUp: () => this.mayGiveUp };
    void scorer.score(CALL, job).then((result) => {
      this.result = result;
    });
    return this;
  }

  stop(): void {
    this.controller.abort();
  }
}

describe('what makes a finished item dead', () => {
  let scoring: Scoring;

  afterEach(() => scoring.stop());

  const untilDone = () => until('the call has an outcome', () => scoring.result);

  it('not a route that is missing for longer than 3 s: the item is scored once it is back', async () => {
    scoring = new Scoring({ route: undefined }).start();
    await until('the route was looked for', () => scoring.looks >= LOOKS);
    expect(scoring.result).to.equal(undefined);
    scoring.route = ROUTE;
    expect(await untilDone()).to.deep.equal({ kind: 'scored', score: 'signed' });
  });

  it('a missing route when the item may be given up', async () => {
    scoring = new Scoring({ route: undefined }).start();
    await until('the route was looked for', () => scoring.looks > 2);
    scoring.mayGiveUp = true;
    expect((await untilDone()).kind).to.equal('impossible');
  });

  it('answers of 500, as many as the route allows attempts', async () => {
    scoring = new Scoring({ outcome: answered(500) }).start();
    expect((await untilDone()).kind).to.equal('impossible');
    expect(scoring.sends).to.equal(MAX_ATTEMPTS);
  });

  describe('as for answers of another status', () => {
    const STATUSES = [301, 400, 401, 403, 404, 408, 409, 413, 421, 422, 429, 501];
    let scorings: Scoring[];

    const startAll = (mayGiveUp: boolean) => {
      scorings = STATUSES.map((status) => new Scoring({ outcome: answered(status), mayGiveUp }).start());
      [scoring] = scorings as [Scoring];
    };
    const untilAllDone = () =>
      until('all calls have an outcome', () => scorings.every(({ result }) => result));

    afterEach(() => {
      for (const each of scorings) each.stop();
    });

    it('none, however many', async () => {
      startAll(false);
      await until('all had more of them than attempts', () =>
        scorings.every(({ sends }) => sends > MAX_ATTEMPTS),
      );
      expect(scorings.map(({ result }) => result)).to.deep.equal(STATUSES.map(() => undefined));
      for (const each of scorings) each.outcome = SUCCESS;
      await untilAllDone();
      expect(scorings.map(({ result }) => result?.kind)).to.deep.equal(STATUSES.map(() => 'scored'));
    });

    it('each of them when the item may be given up', async () => {
      startAll(true);
      await untilAllDone();
      expect(scorings.map(({ result }) => result?.kind)).to.deep.equal(STATUSES.map(() => 'impossible'));
    });
  });

  for (const [name, outcome] of Object.entries({
    502: answered(502),
    503: answered(503),
    504: answered(504),
    rejections: REFUSED,
    'time-outs': TIMED_OUT,
  }))
    it(`not ${name}, even when the item may be given up`, async () => {
      scoring = new Scoring({ outcome, mayGiveUp: true }).start();
      await until('there were more of them than attempts', () => scoring.sends > MAX_ATTEMPTS);
      expect(scoring.result).to.equal(undefined);
    });
});
