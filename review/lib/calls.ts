/** Calls of clients and operators over HTTP/1.1, each on a connection of its own. */
import { request as httpRequest, type IncomingMessage } from 'node:http';

export interface Answer {
  /** 0 if the connection ended before the head of an answer. */
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Whether the body arrived whole. */
  readonly isWhole: boolean;
}

export interface Call {
  /** `IP:PORT`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly timeoutMs: number;
  /** Bytes that the client reads in a second. Default: as fast as they come. */
  readonly bytesPerSecond?: number;
}

/** Sends a call. Never rejects. */
export function send(call: Call): Promise<Answer> {
  return new Promise((resolve) => {
    const [host, port] = call.address.split(':') as [string, string];
    const none: Answer = { status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false };
    const request = httpRequest(
      { host, port: Number(port), method: call.method, path: call.path, headers: call.headers, agent: false },
      (response) => {
        void readBody(response, call.bytesPerSecond).then(({ body, isWhole }) => {
          clearTimeout(timer);
          request.destroy();
          resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isWhole });
        });
      },
    );
    const timer = setTimeout(() => request.destroy(new Error('timed out')), call.timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve(none);
    });
    request.end(call.body);
  });
}

async function readBody(
  response: IncomingMessage,
  bytesPerSecond = Number.POSITIVE_INFINITY,
): Promise<{ body: Buffer; isWhole: boolean }> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      const pauseMs = (chunk.length / bytesPerSecond) * 1_000;
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  } catch {
    // The connection ended early.
    return { body: Buffer.concat(chunks), isWhole: false };
  }
  return { body: Buffer.concat(chunks), isWhole: response.complete };
}
