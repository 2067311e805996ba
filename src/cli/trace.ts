/**
 * Builds the trace of a request, an item or a job from log lines. Lines are ordered by their timestamps, so
 * clock skew can reorder lines of different nodes. Restarts of a node and lines that its logger dropped are
 * reported as gaps.
 */

/** One parsed log line. */
export interface TraceLine {
  readonly timeMs: number;
  readonly node: string;
  readonly sequence: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number>>;
}

export interface Trace {
  readonly id: string;
  /** The job that the item or call belongs to, if known. */
  readonly jobId: string | undefined;
  readonly lines: readonly TraceLine[];
  /** Descriptions of places where lines may be missing. */
  readonly gaps: readonly string[];
}

interface RoarrLine {
  readonly time: number;
  readonly sequence: string;
  readonly message: string;
  readonly context: Readonly<Record<string, string | number>>;
}

/** Gaps within this time before or after the trace are reported too. */
const MARGIN_MS = 2_000;
const OMITTED_LINES_EVENT = 'lines-left-out';
const STARTED_EVENT = 'process-started';
const JOB_EVENTS: ReadonlySet<string> = new Set(['job-changed', 'results-listed']);
const IDENTIFIER_FIELDS = ['requestId', 'jobId'] as const;

/** Parses one line, skipping text before the JSON; `undefined` if it is not a log line. */
export function parseLogLine(text: string): TraceLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as RoarrLine;
    const { node, logLevel: _level, ...fields } = line.context;
    if (typeof line.time !== 'number' || typeof line.message !== 'string') return undefined;
    return {
      timeMs: line.time,
      node: String(node),
      sequence: Number(line.sequence),
      event: line.message,
      fields,
    };
  } catch {
    // Output of another program in the same file.
    return undefined;
  }
}

/** Builds the trace of `id`. For an item it includes ownership changes and result listings of its job. */
export function traceOf(id: string, all: readonly TraceLine[]): Trace {
  const matching = all.filter((line) => mentions(line, id));
  const jobId = matching
    .map((line) => line.fields.jobId)
    .find((value) => value !== undefined && value !== id);
  const jobLines = jobId === undefined ? [] : all.filter((line) => isAboutJob(line, String(jobId)));
  const lines = [...new Set([...matching, ...jobLines])].sort(
    (left, right) => left.timeMs - right.timeMs || left.sequence - right.sequence,
  );
  return { id, jobId: jobId === undefined ? undefined : String(jobId), lines, gaps: gapsOf(lines, all) };
}

function mentions(line: TraceLine, id: string): boolean {
  return IDENTIFIER_FIELDS.some((field) => {
    const value = line.fields[field];
    return value === id || (typeof value === 'string' && value.split('/').includes(id));
  });
}

function isAboutJob(line: TraceLine, jobId: string): boolean {
  return JOB_EVENTS.has(line.event) && line.fields.jobId === jobId;
}

function gapsOf(lines: readonly TraceLine[], all: readonly TraceLine[]): string[] {
  const first = lines[0];
  const last = lines.at(-1);
  if (!first || !last) return [];
  const nodes = new Set(lines.map((line) => line.node));
  return all
    .filter((line) => nodes.has(line.node))
    .filter((line) => line.timeMs >= first.timeMs - MARGIN_MS && line.timeMs <= last.timeMs + MARGIN_MS)
    .flatMap((line) => gapOf(line, first.timeMs));
}

function gapOf(line: TraceLine, startMs: number): string[] {
  const position = `${line.node}, ${line.timeMs - startMs} ms`;
  if (line.event === OMITTED_LINES_EVENT)
    return [`${position}: ${line.fields.count} lines of ${line.fields.kind} were left out`];
  if (line.event === STARTED_EVENT)
    return [`${position}: the process started; lines of its previous run may be missing`];
  return [];
}

/** Formats a trace as text, a row per line: time since the first line, node, event and fields. */
export function renderTrace(trace: Trace): string {
  const start = trace.lines[0]?.timeMs ?? 0;
  const width = Math.max(...trace.lines.map((line) => line.node.length));
  const rows = trace.lines.map((line) => {
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${value}`);
    return `${String(line.timeMs - start).padStart(7)} ms  ${line.node.padEnd(width)}  ${line.event}  ${fields.join(' ')}\n`;
  });
  const heading = trace.jobId ? `${trace.id}, of job ${trace.jobId}\n` : `${trace.id}\n`;
  const gaps = trace.gaps.map((gap) => `gap: ${gap}\n`);
  return [heading, ...rows, ...gaps].join('');
}
