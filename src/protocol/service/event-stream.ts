/** Incremental parser of server-sent events. Chunks may be cut anywhere; no incomplete event is reported. */

/** One event. */
export interface StreamEvent {
  readonly id: string;
  readonly data: string;
  /** Other fields of the event by name. */
  readonly fields: Readonly<Record<string, string>>;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_FIELDS: Readonly<Record<string, string>> = {};
/** Largest event, bytes. Chosen, not measured: bounds the memory of a stream without line ends. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;

/** Thrown for an event above `MAX_EVENT_BYTES`. */
export class EventStreamError extends Error {
  override readonly name = 'EventStreamError';
}

/** Position after the blank line that ends the first event of `bytes`, or -1. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (
    let lineEnd = bytes.indexOf(LINE_FEED, from);
    lineEnd >= 0;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1)
  ) {
    if (bytes[lineEnd + 1] === LINE_FEED) return lineEnd + 2;
    if (bytes[lineEnd + 1] === CARRIAGE_RETURN && bytes[lineEnd + 2] === LINE_FEED) return lineEnd + 3;
  }
  return -1;
}

/** Name and value of a line; an empty name for comments and lines without a colon. */
function parseField(rawLine: string): [name: string, value: string] {
  const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine;
  const colon = line.indexOf(':');
  if (colon <= 0) return ['', ''];
  return [line.slice(0, colon), line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)];
}

/** Parses one event; `undefined` when it has no field. */
function parseEvent(text: string): StreamEvent | undefined {
  let id = '';
  const data: string[] = [];
  let fields: Record<string, string> | undefined;
  for (const line of text.split('\n')) {
    const [name, value] = parseField(line);
    if (name === 'id') id = value;
    else if (name === 'data') data.push(value);
    else if (name !== '') fields = { ...fields, [name]: value };
  }
  if (id === '' && data.length === 0 && !fields) return undefined;
  return { id, data: data.join('\n'), fields: fields ?? NO_FIELDS };
}

/** Parser of one stream. */
export class EventStreamParser {
  private remainder: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are left over. */
  get hasRemainder(): boolean {
    return this.remainder.length > 0;
  }

  /**
   * Adds a chunk; returns the events that it completed. Throws `EventStreamError` when an event is too large.
   */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      const event = parseEvent(bytes.toString('utf8', start, end));
      if (event) events.push(event);
      start = end;
    }
    this.remainder = start === bytes.length ? Buffer.alloc(0) : Buffer.from(bytes.subarray(start));
    if (this.remainder.length > MAX_EVENT_BYTES) throw new EventStreamError('an event is too large');
    return events;
  }
}
