/** Callers that send one request after the other to a node, whether it stops or not, until it refuses connections. */
import { Agent, request } from 'node:http';
import { HEADER } from '../../platform/names.js';
import { monotonicMs } from '../../src/common/clock.js';
import { HOST, LOOKUP_PATH } from './service-system.js';

/** A request and what its caller saw; `status` is `undefined` if the connection ended without a whole answer. */
export interface StopCall {
  readonly id: string;
  readonly status: number | undefined;
  readonly retryAfter: string | undefined;
  /** Error code of the connection, if it failed. */
  readonly error: string | undefined;
  readonly sentAtMs: number;
  readonly tookMs: number;
}

/** Sends one request with a body; resolves when its answer is whole or its connection has ended. */
export function callOnce(url: string, id: string, deadlineMs: number, agent?: Agent): Promise<StopCall> {
  const sentAtMs = monotonicMs();
  const headers = { host: HOST, [HEADER.requestId]: id, [HEADER.deadlineMs]: String(deadlineMs) };
  return new Promise((resolve) => {
    const end = (status?: number, retryAfter?: string, error?: string) =>
      resolve({ id, status, retryAfter, error, sentAtMs, tookMs: monotonicMs() - sentAtMs });
    const sent = request(`${url}${LOOKUP_PATH}x`, { method: 'POST', headers, agent }, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () =>
        end(response.complete ? response.statusCode : undefined, response.headers['retry-after']),
      );
    });
    sent.on('error', (cause: NodeJS.ErrnoException) => end(undefined, undefined, cause.code));
    sent.end('question');
  });
}

/** One caller; reuses its connection whenever the node keeps it open. */
export async function callUntilRefused(
  url: string,
  name: string,
  deadlineMs: number,
): Promise<readonly StopCall[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const calls: StopCall[] = [];
  for (;;) {
    const call = await callOnce(url, `${name}-${calls.length}`, deadlineMs, agent);
    if (call.error === 'ECONNREFUSED') break;
    calls.push(call);
  }
  agent.destroy();
  return calls;
}
