/**
 * Buffers the server-sent events of a generation. Complete events are forwarded as bytes and parsed only when
 * the text is needed: at the end of a sample, or to resume on another engine.
 */
import { err, ok, type Result } from 'neverthrow';
import { type EngineChunk, parseEventLine, STREAM_END } from '../../../protocol/resource/engine.js';
import type { Segment } from '../../../protocol/resource/trainer.js';

const EVENT_END = Buffer.from('\n\n');
const END_EVENT = Buffer.from(`data: ${STREAM_END}\n\n`);

/** The parsed events of a transcript; `tokens` is the total over all parts. */
export interface GeneratedText {
  readonly text: string;
  readonly tokens: number;
  readonly segments: Segment[];
  readonly finishReason: string;
}

/** The events received from one engine. */
interface Part {
  readonly engine: string;
  readonly chunks: Buffer[];
}

export class EventTranscript {
  private readonly parts: Part[] = [];
  private partialEvent: Buffer = Buffer.alloc(0);
  private ended = false;

  /** Whether the end-of-stream event was received. */
  get isComplete(): boolean {
    return this.ended;
  }

  get isEmpty(): boolean {
    return this.parts.every((part) => part.chunks.length === 0);
  }

  /** Starts the part of the next engine; discards a partial event of the previous one. */
  beginPart(engine: string): void {
    this.partialEvent = Buffer.alloc(0);
    this.parts.push({ engine, chunks: [] });
  }

  /** Appends received bytes; returns the bytes of all events that are now complete. */
  append(bytes: Buffer): Buffer {
    const joined = this.partialEvent.length === 0 ? bytes : Buffer.concat([this.partialEvent, bytes]);
    const at = joined.lastIndexOf(EVENT_END);
    if (at < 0) {
      this.partialEvent = joined;
      return Buffer.alloc(0);
    }
    const complete = joined.subarray(0, at + EVENT_END.length);
    this.partialEvent = joined.subarray(at + EVENT_END.length);
    this.parts.at(-1)?.chunks.push(complete);
    this.ended = complete.subarray(-END_EVENT.length).equals(END_EVENT);
    return complete;
  }

  /** Parses the events into text and weight version segments. Error: a malformed event. */
  read(): Result<GeneratedText, string> {
    let text = '';
    let tokens = 0;
    let finishReason = '';
    const segments: Segment[] = [];
    for (const part of this.parts) {
      const chunks = parseChunks(part);
      if (chunks.isErr()) return err(chunks.error);
      for (const chunk of chunks.value) {
        appendSegment(segments, part.engine, chunk.weight_version, tokens, chunk.tokens);
        text += chunk.text;
        tokens += chunk.tokens;
        finishReason = chunk.finish_reason ?? finishReason;
      }
    }
    return ok({ text, tokens, segments, finishReason });
  }
}

function parseChunks(part: Part): Result<EngineChunk[], string> {
  const chunks: EngineChunk[] = [];
  for (const line of Buffer.concat(part.chunks).toString('utf8').split('\n')) {
    const event = parseEventLine(line);
    if (event === undefined || event === 'end') continue;
    if (event.isErr()) return err(`${part.engine}: ${event.error}`);
    chunks.push(event.value);
  }
  return ok(chunks);
}

function appendSegment(
  segments: Segment[],
  engine: string,
  version: number,
  firstToken: number,
  tokenCount: number,
): void {
  if (tokenCount === 0) return;
  const last = segments.at(-1);
  if (last && last.version === version && last.engine === engine) {
    segments[segments.length - 1] = { ...last, tokenCount: last.tokenCount + tokenCount };
  } else {
    segments.push({ version, firstToken, tokenCount, engine });
  }
}
