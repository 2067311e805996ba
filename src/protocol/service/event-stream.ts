/** Server-sent events, read incrementally. Chunks may be cut anywhere; an unfinished event is never reported. */

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
/** An event larger than this is an error, bytes. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;

/** An event stream that does not follow the format. */
export class EventStreamError extends Error {
  override readonly name = 'EventStreamError';
}

/** Position after the blank line that ends the first event of `bytes`, or -1. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function parseEvent(text: string): StreamEvent | undefined {
  let id = '';
  const data: string[] = [];
  let fields: Record<string, string> | undefined;
  for (const rawLine of text.split('\n')) {
    const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine;
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const name = line.slice(0, colon);
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1);
    if (name === 'id') id = value;
    else if (name === 'data') data.push(value);
    else fields = { ...fields, [name]: value };
  }
  if (id === '' && data.length === 0 && !fields) return undefined;
  return { id, data: data.join('\n'), fields: fields ?? NO_FIELDS };
}

/** Turns chunks into events. */
export class EventStreamParser {
  private rest: Buffer = Buffer.alloc(0);

  /** True when bytes of an unfinished event are left over. */
  get hasRemainder(): boolean {
    return this.rest.length > 0;
  }

  /** Takes a chunk; returns the events that it completed. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      const event = parseEvent(bytes.toString('utf8', start, end));
      if (event) events.push(event);
      start = end;
    }
    this.rest = start === bytes.length ? Buffer.alloc(0) : Buffer.from(bytes.subarray(start));
    if (this.rest.length > MAX_EVENT_BYTES) throw new EventStreamError('an event is too large');
    return events;
  }
}
