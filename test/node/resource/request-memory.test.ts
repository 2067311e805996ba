import { expect } from 'chai';
import type { Result } from 'neverthrow';
import { Metrics } from '../../../src/common/metrics.js';
import type { CoordinationError } from '../../../src/coordination/resource/coordination-error.js';
import { ApiServer } from '../../../src/node/resource/api/api-server.js';
import { type Exchange, readAnyJson, readBody } from '../../../src/node/resource/api/exchange.js';
import { HttpClient } from '../../../src/transport/http-client.js';
import { MemoryBudget } from '../../../src/transport/memory-budget.js';
import { until } from '../../support/wait.js';

const KILOBYTE = 1024;
const BODY_LIMIT_BYTES = 1024 * KILOBYTE;
const LIMITS = {
  heldBytes: 256 * KILOBYTE,
  reservedBytes: 0,
  garbageBytes: 256 * KILOBYTE,
  youngGarbageBytes: 256 * KILOBYTE,
};

function answer(
  { response }: Exchange,
  read: Result<unknown, CoordinationError>,
): Result<void, CoordinationError> {
  if (read.isOk()) response.end();
  return read.map(() => undefined);
}

describe('The memory for requests to the resource interface', () => {
  let server: ApiServer;
  let client: HttpClient;
  let budget: MemoryBudget;
  let url: string;

  beforeEach(async () => {
    budget = new MemoryBudget(LIMITS, () => {});
    server = new ApiServer({
      nodeId: 'node-1',
      access: {} as never,
      metrics: new Metrics(false),
      logger: { warn: () => {} } as never,
      isLeaving: () => false,
      budget,
    });
    const route = { method: 'POST', roles: [], isWork: false } as const;
    server.addRoutes([
      {
        ...route,
        pattern: '/bytes',
        handler: async (exchange) => answer(exchange, await readBody(exchange, BODY_LIMIT_BYTES)),
      },
      {
        ...route,
        pattern: '/json',
        handler: async (exchange) => answer(exchange, await readAnyJson(exchange, BODY_LIMIT_BYTES)),
      },
    ]);
    url = `http://127.0.0.1:${await server.http.listen('127.0.0.1', 0)}`;
    client = new HttpClient();
  });

  afterEach(async () => {
    await client.close();
    server.http.destroy();
  });

  async function statusOf(path: string, body: string): Promise<number> {
    const answer = await client.exchange({ method: 'POST', url: `${url}${path}`, body });
    return answer._unsafeUnwrap().status;
  }

  it('rejects a body that does not fit, and takes the next one', async () => {
    expect(await statusOf('/bytes', 'x'.repeat(512 * KILOBYTE))).to.equal(429);
    expect(await statusOf('/bytes', 'x'.repeat(128 * KILOBYTE))).to.equal(200);
  });

  it('rejects a body whose parsed form does not fit, and takes the next one', async () => {
    expect(await statusOf('/json', `[${'[],'.repeat(32 * KILOBYTE)}[]]`)).to.equal(429);
    expect(await statusOf('/json', `["${'x'.repeat(32 * KILOBYTE)}"]`)).to.equal(200);
    await until('all bytes are given back', () => budget.heldBytes === 0);
  });
});
