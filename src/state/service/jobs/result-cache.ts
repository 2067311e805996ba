/**
 * In-memory cache for the results of jobs, bounded in bytes. Evicts the jobs without new results for the
 * longest time. Notifies readers that wait for more results.
 */

interface JobResults {
  /** In order, from position 0. */
  readonly results: string[];
  bytes: number;
}

/** Size of a result on the wire, and about its size in memory. */
function bytesOf(result: string): number {
  return Buffer.byteLength(result, 'utf8');
}

/** Returns leading results of up to `maxBytes`, but at least one if there is any. */
export function takePage(results: readonly string[], maxBytes: number): readonly string[] {
  const page: string[] = [];
  let bytes = 0;
  for (const result of results) {
    bytes += bytesOf(result);
    if (page.length > 0 && bytes > maxBytes) break;
    page.push(result);
  }
  return page;
}

type Listener = () => void;

export class ResultCache {
  private readonly jobs = new Map<string, JobResults>();
  private readonly listeners = new Map<string, Set<Listener>>();
  private totalBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Adds results from `position` on. Ignored if they would leave a gap. */
  append(jobId: string, position: number, results: readonly string[]): void {
    const entry = this.jobs.get(jobId) ?? { results: [], bytes: 0 };
    if (position > entry.results.length) return;
    this.jobs.delete(jobId);
    this.jobs.set(jobId, entry);
    for (const result of results.slice(entry.results.length - position)) {
      const bytes = bytesOf(result);
      entry.results.push(result);
      entry.bytes += bytes;
      this.totalBytes += bytes;
    }
    this.evict(jobId);
    for (const listener of this.listeners.get(jobId) ?? []) listener();
  }

  /** Returns cached results from `position` on: up to `maxBytes`, but at least one if there is any. */
  read(jobId: string, position: number, maxBytes: number): readonly string[] {
    return takePage(this.jobs.get(jobId)?.results.slice(position) ?? [], maxBytes);
  }

  /** Calls `listener` when results of the job are added. Returns a function that unsubscribes it. */
  subscribe(jobId: string, listener: Listener): () => void {
    const listeners = this.listeners.get(jobId) ?? new Set();
    listeners.add(listener);
    this.listeners.set(jobId, listeners);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.listeners.delete(jobId);
    };
  }

  remove(jobId: string): void {
    this.totalBytes -= this.jobs.get(jobId)?.bytes ?? 0;
    this.jobs.delete(jobId);
  }

  private evict(exceptJobId: string): void {
    for (const jobId of this.jobs.keys()) {
      if (this.totalBytes <= this.maxBytes) return;
      if (jobId !== exceptJobId) this.remove(jobId);
    }
  }
}
