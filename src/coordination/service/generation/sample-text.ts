/**
 * The text of a sample: its events in order, the weight versions that generated them, and which are stored.
 */
import type { PartialText } from '../../../protocol/service/batch-job.js';
import { MAX_RESULT_TEXT_BYTES } from '../../../state/service/jobs/index.js';

/** Bounds the memory of a text whose replica sends events without end; each event counts as this much more. */
const MAX_TEXT_BYTES = 4 * 1024 * 1024;
const EVENT_OVERHEAD_BYTES = 64;

/** Collects events across attempts; each attempt continues after the last event. */
export class SampleText {
  private readonly events: string[] = [];
  private readonly versionSet = new Set<number>();
  private lastId: string | undefined;
  private savedCount = 0;
  /** In memory. */
  private bytes = 0;
  /** As JSON, as which it is listed. */
  private jsonBytes = 0;
  /** Whether the stream was read to its end. */
  isComplete = false;

  /** Restores the text that an earlier owner stored. */
  static from(partial: PartialText): SampleText {
    const text = new SampleText();
    for (const event of partial.events) text.add(event);
    for (const version of partial.versions) text.versionSet.add(version);
    text.lastId = partial.events.length > 0 ? partial.lastEventId : undefined;
    text.isComplete = partial.isWhole;
    text.savedCount = partial.events.length;
    return text;
  }

  get eventCount(): number {
    return this.events.length;
  }

  /** `undefined` before the first event. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  get versions(): number[] {
    return [...this.versionSet].sort((left, right) => left - right);
  }

  /** Whether an event with this ID directly follows the last one. The first event may have any integer ID. */
  isNext(id: string): boolean {
    if (id === '' || !Number.isInteger(Number(id))) return false;
    return this.lastId === undefined || Number(id) === Number(this.lastId) + 1;
  }

  /** Whether it exceeds the size that a sample may have, in memory or in its list of results. */
  get isTooLarge(): boolean {
    return this.bytes > MAX_TEXT_BYTES || this.jsonBytes > MAX_RESULT_TEXT_BYTES;
  }

  append(id: string, data: string, version: number): void {
    this.add(data);
    this.lastId = id;
    this.versionSet.add(version);
  }

  clear(): void {
    this.events.length = 0;
    this.bytes = 0;
    this.jsonBytes = 0;
    this.versionSet.clear();
    this.lastId = undefined;
    this.savedCount = 0;
    this.isComplete = false;
  }

  /** All events, separated by newlines. */
  join(): string {
    return this.events.join('\n');
  }

  /** Whether there are events that are not stored yet. */
  get hasUnsaved(): boolean {
    return this.events.length > this.savedCount;
  }

  /** Records that the first `count` events are stored. */
  markSaved(count: number): void {
    this.savedCount = Math.max(this.savedCount, Math.min(count, this.events.length));
  }

  /** Exports what another owner needs to continue. */
  toPartial(): PartialText {
    return {
      lastEventId: this.lastId ?? '',
      events: [...this.events],
      versions: this.versions,
      isWhole: this.isComplete,
    };
  }

  private add(event: string): void {
    this.events.push(event);
    this.bytes += Buffer.byteLength(event, 'utf8') + EVENT_OVERHEAD_BYTES;
    // The quotes of the event take as much as the line feed that separates it from the next one.
    this.jsonBytes += Buffer.byteLength(JSON.stringify(event), 'utf8');
  }
}
