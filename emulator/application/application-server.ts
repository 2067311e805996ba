/**
 * Stand-in of an application service (tariff look-up, booking). It counts how often each request ran, by the
 * `x-work-id` header that the caller sets, so that a test can check what the system said of it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import Type, { type Static } from 'typebox';
import { sleep } from '../../src/common/clock.js';
import { NOT_ADMITTED_HEADER } from '../../src/protocol/resource/engine.js';
import { Validator } from '../../src/protocol/validation.js';
import { readFully } from '../../src/transport/http-client.js';
import { type HttpServer, sendJson } from '../../src/transport/http-server.js';
import { createStandInServer, readControlJson } from '../faults.js';

const ApplicationFaultsSchema = Type.Object(
  {
    /** Time that a request takes, milliseconds. */
    workMs: Type.Optional(Type.Integer({ minimum: 0 })),
    /** The next so many requests run, but their answers are lost. */
    loseAnswers: Type.Optional(Type.Integer({ minimum: 0 })),
    /** The next so many answers are cut in the middle of the body. */
    cutAnswers: Type.Optional(Type.Integer({ minimum: 0 })),
    /** Refuses every request as not admitted. */
    refuse: Type.Optional(Type.Boolean()),
  },
  { additionalProperties: false },
);
type ApplicationFaults = Static<typeof ApplicationFaultsSchema>;

const faultsValidator = new Validator(ApplicationFaultsSchema);
const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const WORK_ID_HEADER = 'x-work-id';

/** One back end of an application service. */
export class ApplicationServer {
  private readonly server: HttpServer = createStandInServer();
  private readonly runs = new Map<string, number>();
  private faults: ApplicationFaults = {};

  constructor(private readonly name: string) {
    this.server.route('GET', '/control/runs', async (_request, response) =>
      sendJson(response, 200, { runs: Object.fromEntries(this.runs) }),
    );
    this.server.route('PUT', '/control/faults', async (request, response) => {
      this.faults = faultsValidator.check(await readControlJson(request))._unsafeUnwrap();
      sendJson(response, 200, this.faults);
    });
    this.server.route('ALL', '/*', (request, response) => this.serve(request, response));
  }

  /** Starts; resolves to the base URL. */
  async start(host: string, port: number): Promise<string> {
    return `http://${host}:${await this.server.listen(host, port)}`;
  }

  /** Stops at once. */
  stop(): void {
    this.server.destroy();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readFully(request, BODY_LIMIT_BYTES))._unsafeUnwrap().toString('utf8');
    if (this.faults.refuse) {
      sendJson(
        response,
        503,
        { error: 'not admitted' },
        { [NOT_ADMITTED_HEADER]: 'true', 'retry-after': '1' },
      );
      return;
    }
    const workId = String(request.headers[WORK_ID_HEADER] ?? '');
    if (workId) this.runs.set(workId, (this.runs.get(workId) ?? 0) + 1);
    if (this.faults.workMs) await sleep(this.faults.workMs);
    if (this.takeFault('loseAnswers')) {
      response.destroy();
      return;
    }
    const answer = { backend: this.name, method: request.method, path: request.url, workId, body };
    if (this.takeFault('cutAnswers')) cutInTheMiddle(response, JSON.stringify(answer));
    else sendJson(response, 200, answer);
  }

  private takeFault(name: 'loseAnswers' | 'cutAnswers'): boolean {
    const left = this.faults[name] ?? 0;
    if (left === 0) return false;
    this.faults = { ...this.faults, [name]: left - 1 };
    return true;
  }
}

function cutInTheMiddle(response: ServerResponse, text: string): void {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
  response.write(text.slice(0, text.length / 2), () => response.destroy());
}
