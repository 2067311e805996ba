/**
 * What processes say to each other, as key structures: a recorder of the requests that servers of this process get, relays
 * that stand between two nodes, and surveys of keys with the types of their values.
 */
import { channel } from 'node:diagnostics_channel';
import { createServer, type IncomingMessage, request as openRequest, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** How a key occurs: in every value, in some value of each run, or only now and then. */
export type Occurrence = 'always' | 'seen' | 'may';
/** By path of a key: how it occurs, and the types of its values. */
export type KeyForm = Readonly<Record<string, string>>;

/** A request as it was received. */
export interface RecordedRequest {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  /** Whole once the request has ended. */
  readonly chunks: Buffer[];
}

/** Names that differ from run to run, replaced by what they are. */
export function normal(text: string): string {
  return text
    .replace(/[0-9A-HJKMNP-TV-Z]{26}/g, '<id>')
    .replace(/\d+\.\d+\.\d+\.\d+:\d+/g, '<address>')
    .replace(/\b(?=[0-9a-f]*\d)[0-9a-f]{12,}\b/g, '<hex>')
    .replace(/(?<!\/v)\d+/g, '<n>');
}

function typeOf(value: unknown): string {
  if (value === null) return 'null';
  return Array.isArray(value) ? 'list' : typeof value;
}

/** The keys of one value: path and types. */
function keysOf(value: unknown, path: string, found: Map<string, Set<string>>): void {
  const types = found.get(path) ?? new Set();
  found.set(path, types.add(typeOf(value)));
  if (Array.isArray(value)) for (const entry of value) keysOf(entry, `${path}[]`, found);
  else if (typeof value === 'object' && value !== null)
    for (const [key, entry] of Object.entries(value)) keysOf(entry, `${path}.${normal(key)}`, found);
}

/** Key structures of values, by name. */
export class Survey {
  private readonly values = new Map<string, Map<string, Set<string>>[]>();

  add(name: string, value: unknown): void {
    const found = new Map<string, Set<string>>();
    keysOf(value, '', found);
    this.values.set(name, [...(this.values.get(name) ?? []), found]);
  }

  /** The forms as a fixture has them. */
  forms(): Record<string, KeyForm> {
    const forms = [...this.values].map(([name, values]) => [name, formOf(values)] as const);
    return Object.fromEntries(forms.sort(([left], [right]) => (left < right ? -1 : 1)));
  }

  /** What is not as the fixture says, one line each. */
  differences(expected: Readonly<Record<string, KeyForm>>): string[] {
    const lines: string[] = [];
    for (const [name, form] of Object.entries(expected))
      if (!this.values.has(name) && !form['']?.startsWith('may')) lines.push(`${name}: not seen`);
    for (const [name, values] of this.values) {
      const form = expected[name];
      if (form) lines.push(...differencesOf(name, values, form));
      else lines.push(`${name}: not known`);
    }
    return [...new Set(lines)];
  }
}

function formOf(values: readonly Map<string, Set<string>>[]): KeyForm {
  const paths = new Set(values.flatMap((value) => [...value.keys()]));
  const entry = (path: string) => {
    const types = new Set(values.flatMap((value) => [...(value.get(path) ?? [])]));
    const occurrence: Occurrence = values.every((value) => value.has(path)) ? 'always' : 'seen';
    return [path, `${occurrence} ${[...types].sort().join('|')}`] as const;
  };
  return Object.fromEntries([...paths].sort().map(entry));
}

function differencesOf(name: string, values: readonly Map<string, Set<string>>[], form: KeyForm): string[] {
  const lines: string[] = [];
  for (const [path, text] of Object.entries(form)) {
    const [occurrence, types = ''] = text.split(' ');
    const with_ = values.filter((value) => value.has(path));
    if (occurrence === 'always' && with_.length < values.length) lines.push(`${name}${path}: is missing`);
    if (occurrence === 'seen' && with_.length === 0) lines.push(`${name}${path}: not seen`);
    for (const value of with_)
      for (const type of value.get(path) ?? [])
        if (!types.split('|').includes(type)) lines.push(`${name}${path}: is a ${type}`);
  }
  for (const value of values)
    for (const path of value.keys()) if (!(path in form)) lines.push(`${name}${path}: not known`);
  return lines;
}

/** Records the requests that all servers of this process get, until it is stopped. */
export class RequestRecorder {
  readonly requests: RecordedRequest[] = [];
  private readonly channel = channel('http.server.request.start');
  private readonly listener = (message: unknown) =>
    this.record((message as { request: IncomingMessage }).request);

  start(): void {
    this.channel.subscribe(this.listener);
  }

  stop(): void {
    this.channel.unsubscribe(this.listener);
  }

  private record(request: IncomingMessage): void {
    const chunks: Buffer[] = [];
    const push = request.push.bind(request);
    request.push = (chunk: unknown, encoding?: BufferEncoding) => {
      if (Buffer.isBuffer(chunk)) chunks.push(Buffer.from(chunk));
      return push(chunk, encoding);
    };
    const { method = '', url: path = '', headers, socket } = request;
    this.requests.push({ port: socket.localPort ?? 0, method, path, headers, chunks });
  }
}

/** The JSON value in bytes; their text where they hold none. */
export function jsonOf(bytes: Buffer): unknown {
  const text = bytes.toString('utf8');
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Stands before a node and passes its calls on; what comes back is kept. */
export class Relay {
  readonly answers: { readonly path: string; readonly status: number; readonly body: Buffer }[] = [];
  private readonly server: Server;

  /** `IP:PORT` of what stands behind it. */
  target = '';

  private constructor() {
    this.server = createServer((near, answer) => {
      const { hostname: host, port } = new URL(`http://${this.target}`);
      const { method, url: path, headers } = near;
      const far = openRequest({ host, port, method, path, headers }, (response) => {
        const { statusCode = 0 } = response;
        const chunks: Buffer[] = [];
        answer.writeHead(statusCode, response.headers);
        answer.flushHeaders();
        response.on('data', (chunk) => chunks.push(chunk as Buffer));
        response.on('end', () =>
          this.answers.push({ path: path ?? '', status: statusCode, body: Buffer.concat(chunks) }),
        );
        response.on('error', () => answer.destroy());
        response.pipe(answer);
      });
      far.on('error', () => answer.destroy());
      near.on('error', () => far.destroy());
      answer.on('close', () => far.destroy());
      near.pipe(far);
    });
  }

  /** Starts a relay; what stands behind it is set later. */
  static async start(): Promise<Relay> {
    const relay = new Relay();
    await new Promise<void>((resolve) => relay.server.listen(0, '127.0.0.1', resolve));
    return relay;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
