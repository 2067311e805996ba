/** Faults of a stand-in, set at start or through its control endpoint `PUT /control/faults`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import Type, { type Static } from 'typebox';
import { monotonicMs, sleep } from '../src/common/clock.js';
import { formatProblems, Validator } from '../src/protocol/validation.js';
import { readFully } from '../src/transport/http-client.js';
import { HttpServer, sendJson } from '../src/transport/http-server.js';

export const FaultsSchema = Type.Object(
  {
    /** Answers 503 to everything. */
    down: Type.Optional(Type.Boolean()),
    /** Delays every answer, milliseconds. */
    slowMs: Type.Optional(Type.Integer({ minimum: 0 })),
    /** The next so many requests take effect, but their answers are lost. */
    loseAnswers: Type.Optional(Type.Integer({ minimum: 0 })),
    /** Requests allowed in a second; others get 429. 0 means no limit. */
    ratePerSecond: Type.Optional(Type.Integer({ minimum: 0 })),
  },
  { additionalProperties: false },
);
export type Faults = Static<typeof FaultsSchema>;

const validator = new Validator(FaultsSchema);
const CONTROL_LIMIT_BYTES = 64 * 1024;
const WINDOW_MS = 1_000;

/** Reads a JSON body of a stand-in's request. */
export async function readControlJson(
  request: IncomingMessage,
  limitBytes = CONTROL_LIMIT_BYTES,
): Promise<unknown> {
  const body = await readFully(request, limitBytes);
  if (body.isErr()) throw body.error;
  return body.value.length === 0 ? undefined : JSON.parse(body.value.toString('utf8'));
}

/** A server whose own faults are answered with a plain JSON error. */
export function createStandInServer(): HttpServer {
  return new HttpServer({
    notFound: async (_request, response) => sendJson(response, 404, { error: 'not found' }),
    failed: (cause, _request, response) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, { error: String(cause) });
    },
  });
}

type StandInHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Applies faults around handlers. */
export class FaultInjector {
  private windowStartedAtMs = monotonicMs();
  private inWindow = 0;

  constructor(private faults: Faults = {}) {}

  /** Adds the control endpoint. */
  addControl(server: HttpServer, path: string): void {
    server.route('PUT', path, async (request, response) => {
      const checked = validator.check(await readControlJson(request));
      if (checked.isErr()) {
        sendJson(response, 400, { error: formatProblems(checked.error) });
        return;
      }
      this.faults = checked.value;
      sendJson(response, 200, this.faults);
    });
  }

  /** Like `around`, but no answer is lost: for calls that change nothing. */
  aroundReads(handler: StandInHandler): StandInHandler {
    return this.around(handler, false);
  }

  /** A handler with the faults around it. */
  around(handler: StandInHandler, losesAnswers = true): StandInHandler {
    return async (request, response) => {
      if (this.faults.slowMs) await sleep(this.faults.slowMs);
      if (this.faults.down) {
        sendJson(response, 503, { error: 'down' });
        return;
      }
      if (this.isOverRate()) {
        sendJson(response, 429, { error: 'rate limit' }, { 'retry-after': '1' });
        return;
      }
      if (losesAnswers && this.faults.loseAnswers) {
        this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
        loseAnswer(response);
      }
      await handler(request, response);
    };
  }

  private isOverRate(): boolean {
    const limit = this.faults.ratePerSecond ?? 0;
    if (limit === 0) return false;
    const now = monotonicMs();
    if (now - this.windowStartedAtMs > WINDOW_MS) {
      this.windowStartedAtMs = now;
      this.inWindow = 0;
    }
    this.inWindow += 1;
    return this.inWindow > limit;
  }
}

/** Breaks the connection at the moment at which the answer would be sent. */
function loseAnswer(response: ServerResponse): void {
  response.writeHead = (() => {
    response.destroy();
    return response;
  }) as never;
  response.end = (() => response) as never;
}
