/** HTTP interface of an engine stand-in, in the wire format of `src/protocol/resource/engine.ts`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  EngineCommandSchema,
  EngineRequestSchema,
  NOT_ADMITTED_HEADER,
  STREAM_END,
} from '../../src/protocol/resource/engine.js';
import { formatProblems, Validator } from '../../src/protocol/validation.js';
import { HttpClient } from '../../src/transport/http-client.js';
import { disconnectSignal, type HttpServer, sendJson } from '../../src/transport/http-server.js';
import { createStandInServer, readControlJson } from '../faults.js';
import { DEFAULT_ENGINE_OPTIONS, Engine, type EngineOptions, type SequenceSink } from './engine.js';

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const generation = new Validator(EngineRequestSchema);
const orderValidator = new Validator(EngineCommandSchema);

/** One engine and its server. */
export class EngineServer {
  readonly engine: Engine;
  private readonly server: HttpServer = createStandInServer();
  private readonly client = new HttpClient();

  /** `weightStore`: base URL of the weight store. */
  constructor(options: Partial<EngineOptions>, weightStore: string) {
    this.engine = new Engine({ ...DEFAULT_ENGINE_OPTIONS, ...options }, (object) =>
      this.readWeights(weightStore, object),
    );
    this.server.route('POST', '/v1/completions', (request, response) => this.generate(request, response));
    this.server.route('GET', '/state', async (_request, response) =>
      sendJson(response, 200, this.engine.state()),
    );
    this.server.route('POST', '/orders', (request, response) => this.order(request, response));
    this.addControl();
  }

  /** Starts; resolves to the base URL. */
  async start(host: string, port: number): Promise<string> {
    return `http://${host}:${await this.server.listen(host, port)}`;
  }

  /** Stops at once. */
  stop(): void {
    this.engine.stop();
    this.server.destroy();
    void this.client.close();
  }

  private addControl(): void {
    this.server.route('PUT', '/control/fail-swaps', async (request, response) => {
      const { count } = (await readControlJson(request)) as { count: number };
      this.engine.failSwaps(count);
      sendJson(response, 200, {});
    });
    this.server.route('PUT', '/control/cut', async (_request, response) => {
      this.engine.cutAll();
      sendJson(response, 200, {});
    });
  }

  private async readWeights(weightStore: string, object: string): Promise<boolean> {
    const url = `${weightStore}/${encodeURIComponent(object)}`;
    const answer = await this.client.exchange({ method: 'GET', url });
    return answer.isOk() && answer.value.status === 200;
  }

  private async generate(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const checked = generation.check(await readControlJson(request, BODY_LIMIT_BYTES));
    if (checked.isErr()) {
      sendJson(response, 400, { error: formatProblems(checked.error) }, { [NOT_ADMITTED_HEADER]: 'true' });
      return;
    }
    const sink = createSink(response);
    const refusal = this.engine.admit(checked.value, sink);
    if (refusal) {
      sendJson(response, 503, { error: refusal }, { [NOT_ADMITTED_HEADER]: 'true', 'retry-after': '1' });
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    disconnectSignal(response).addEventListener('abort', () =>
      this.engine.cancel(checked.value.request_id, sink),
    );
  }

  private async order(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const checked = orderValidator.check(await readControlJson(request));
    if (checked.isErr()) {
      sendJson(response, 400, { error: formatProblems(checked.error) });
      return;
    }
    const state = await this.engine.order(checked.value);
    if (state) sendJson(response, 200, state);
    else sendJson(response, 409, { error: 'the fence is too low' });
  }
}

function createSink(response: ServerResponse): SequenceSink {
  return {
    chunk: (chunk) => response.write(`data: ${JSON.stringify(chunk)}\n\n`),
    end: () => response.end(`data: ${STREAM_END}\n\n`),
    cut: () => response.destroy(),
  };
}
