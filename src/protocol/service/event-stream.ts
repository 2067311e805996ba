/** Incremental parser for server-sent events. Chunks may end anywhere; only complete events are returned. */
import { GrowingBuffer } from '../../common/growing-buffer.js';

export interface StreamEvent {
  readonly id: string;
  readonly data: string;
  /** Other fields, by name. */
  readonly fields: Readonly<Record<string, string>>;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_FIELDS: Readonly<Record<string, string>> = {};
/** Bounds the memory for a stream without blank lines. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Bytes of the end of an event that may precede a chunk. */
const LONGEST_PARTIAL_END_BYTES = 2;

/** Thrown for an event above `MAX_EVENT_BYTES`. */
export class EventStreamError extends Error {
  override readonly name = 'EventStreamError';
}

/** Returns the position after the blank line that ends the first event, or -1. */
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

/** Returns name and value of a line. The name is empty for comments and lines without a colon. */
function parseField(rawLine: string): [name: string, value: string] {
  const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine;
  const colon = line.indexOf(':');
  if (colon <= 0) return ['', ''];
  return [line.slice(0, colon), line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)];
}

/** Returns `undefined` for an event without fields. */
function parseEvent(text: string): StreamEvent | undefined {
  let id = '';
  const data: string[] = [];
  let fields: Record<string, string> | undefined;
  for (const line of text.split('\n')) {
    const [name, value] = parseField(line);
    if (name === 'id') id = value;
    else if (name === 'data') data.push(value);
    else if (name !== '') {
      fields ??= {};
      fields[name] = value;
    }
  }
  if (id === '' && data.length === 0 && !fields) return undefined;
  return { id, data: data.join('\n'), fields: fields ?? NO_FIELDS };
}

export class EventStreamParser {
  private readonly remainder = new GrowingBuffer();

  /** Whether bytes of an incomplete event are buffered. */
  get hasRemainder(): boolean {
    return this.remainder.length > 0;
  }

  /** Adds a chunk and returns the events that it completes. Throws `EventStreamError`. */
  push(chunk: Buffer): StreamEvent[] {
    const searchFrom = Math.max(0, this.remainder.length - LONGEST_PARTIAL_END_BYTES);
    const bytes = this.remainder.append(chunk);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, searchFrom); end >= 0; end = endOfEvent(bytes, start)) {
      const event = parseEvent(bytes.toString('utf8', start, end));
      if (event) events.push(event);
      start = end;
    }
    if (start > 0) this.remainder.dropFirst(start);
    if (this.remainder.length > MAX_EVENT_BYTES) throw new EventStreamError('event exceeds the size limit');
    return events;
  }
}
