/**
 * Buffers the server-sent events of a generation. Complete events are forwarded as bytes and parsed only when
 * the text is needed: at the end of a sample, or to resume on another engine.
 */
import { err, ok, type Result } from 'neverthrow';
import { GrowingBuffer } from '../../../common/growing-buffer.js';
import { type EngineChunk, parseEventLine, STREAM_END } from '../../../protocol/resource/engine.js';
import type { Segment } from '../../../protocol/resource/trainer.js';

/** Bounds the memory for a stream without blank lines, and for one without an end. */
const MAX_EVENT_BYTES = 1024 * 1024;
const MAX_TRANSCRIPT_BYTES = 32 * 1024 * 1024;
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

/** Thrown for an event or a transcript that exceeds its limit. */
export class TranscriptSizeError extends Error {
  override readonly name = 'TranscriptSizeError';
}

export class EventTranscript {
  private readonly parts: Part[] = [];
  private partialEvent = new GrowingBuffer();
  /** Size of the complete events of all parts. */
  private bytes = 0;
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
    this.partialEvent = new GrowingBuffer();
    this.parts.push({ engine, chunks: [] });
  }

  /** Appends received bytes; returns the bytes of all events that are now complete. Throws `TranscriptSizeError`. */
  append(bytes: Buffer): Buffer {
    const searchFrom = Math.max(0, this.partialEvent.length - 1);
    const joined = this.partialEvent.append(bytes);
    const at = joined.subarray(searchFrom).lastIndexOf(EVENT_END);
    const end = at < 0 ? 0 : searchFrom + at + EVENT_END.length;
    const complete = Buffer.from(joined.subarray(0, end));
    if (end > 0) this.partialEvent.dropFirst(end);
    this.bytes += end;
    if (this.partialEvent.length > MAX_EVENT_BYTES || this.bytes > MAX_TRANSCRIPT_BYTES)
      throw new TranscriptSizeError('the stream of an engine exceeds its size limit');
    if (end === 0) return complete;
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
