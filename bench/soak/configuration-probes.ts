/**
 * Probes by requests which configuration each node has in force, and judges the answers by routes that were
 * added, dropped or moved.
 */
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { ServiceNodeProcess, ServiceSystem } from '../../test/support/service-system.js';
import { type ConfigurationSeries, MOVED_PATH, type WrittenConfiguration } from './configuration-series.js';
import type { FaultSpan, ProbeHistory } from './records.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Time after which a node that has shown a configuration must not act on an older one, milliseconds. */
const ROLLBACK_SLACK_MS = 250;
/** Requests on added routes from which on their share that is served is judged, and the least share. */
const JUDGED_REQUESTS = 20;
const LEAST_SERVED = 0.5;
const MS_PER_SECOND = 1_000;

/** What probing works with. */
export interface ProbeParts {
  readonly system: ServiceSystem;
  readonly series: ConfigurationSeries;
  readonly nodes: () => readonly ServiceNodeProcess[];
  readonly probes: ProbeHistory[];
  readonly perSecond: number;
  readonly signal: AbortSignal;
}

/** Probes one node after the other until the signal; probes do not wait for each other. */
export async function probeNodes(parts: ProbeParts): Promise<void> {
  const open = new Set<Promise<void>>();
  for (let turn = 0; !parts.signal.aborted; turn += 1) {
    const nodes = parts.nodes();
    const node = nodes[turn % nodes.length];
    if (node) {
      const probe = probeNode(parts, node, turn).finally(() => open.delete(probe));
      open.add(probe);
    }
    await sleep(MS_PER_SECOND / parts.perSecond);
  }
  await Promise.all(open);
}

async function probeNode(parts: ProbeParts, node: ServiceNodeProcess, turn: number): Promise<void> {
  const { newestPath, droppedPath } = parts.series;
  const paths = [newestPath, droppedPath, MOVED_PATH];
  await Promise.all(paths.map((path, at) => ask(parts, node, `probe-${turn}-${at}`, path)));
}

async function ask(parts: ProbeParts, node: ServiceNodeProcess, id: string, path: string): Promise<void> {
  const askedAtMs = monotonicMs();
  const answer = await parts.system.lookup(node, id, {}, `${path}x`);
  const life = `${node.name}/${node.child.pid}`;
  const status = answer?.status ?? 0;
  parts.probes.push({ id, node: node.name, life, path, askedAtMs, answeredAtMs: monotonicMs(), status });
}

/** What the probes are judged by. */
export interface ProbeEvidence {
  readonly written: readonly WrittenConfiguration[];
  /** Service that ran a request, by its identifier. */
  readonly servedBy: ReadonlyMap<string, string>;
  readonly faults: readonly FaultSpan[];
  readonly boundMs: number;
  readonly contactMs: number;
}

/** Numbers of the configurations, from `least` to `most`. */
interface Span {
  readonly least: number;
  readonly most: number;
}

/** Configurations that were written before a moment, minus one: the number of the newest. */
function newestAt(written: readonly WrittenConfiguration[], atMs: number): number {
  return written.filter(({ writtenAtMs }) => writtenAtMs <= atMs).length - 1;
}

/** Whether a configuration explains an answer; any other status is explained by all. */
function explains(
  configuration: WrittenConfiguration,
  probe: ProbeHistory,
  evidence: ProbeEvidence,
): boolean {
  if (probe.status !== STATUS_OK && probe.status !== STATUS_NOT_FOUND) return true;
  if (probe.path === MOVED_PATH)
    return probe.status === STATUS_OK && evidence.servedBy.get(probe.id) === configuration.movedTo;
  return configuration.addedPaths.has(probe.path) === (probe.status === STATUS_OK);
}

function explanations(probe: ProbeHistory, { least, most }: Span, evidence: ProbeEvidence): number[] {
  const numbers = Array.from({ length: most - least + 1 }, (_, at) => least + at);
  return numbers.filter((number) =>
    explains(evidence.written[number] as WrittenConfiguration, probe, evidence),
  );
}

/** Whether no fault of the node or the store was on from `contactMs` before the probe to its answer. */
function isInTouch(probe: ProbeHistory, { faults, contactMs }: ProbeEvidence): boolean {
  return !faults.some(
    ({ kind, nodes, fromMs, untilMs }) =>
      (isOutage(kind) || nodes?.includes(probe.node)) &&
      fromMs < probe.answeredAtMs &&
      untilMs > probe.askedAtMs - contactMs,
  );
}

/** Faults in which no node can learn of changes; old reads and a lost history are none of them. */
const OUTAGES = new Set(['store-silent', 'store-busy', 'store-reset', 'store-operator-table-silent']);

function isOutage(kind: string): boolean {
  return OUTAGES.has(kind);
}

/**
 * Answers of connected nodes that only a configuration older than the bound explains, or none that was
 * written.
 */
function lateBreaches(probes: readonly ProbeHistory[], evidence: ProbeEvidence): string[] {
  return probes.flatMap((probe) => {
    if (!isInTouch(probe, evidence)) return [];
    const most = newestAt(evidence.written, probe.answeredAtMs);
    const least = Math.max(0, newestAt(evidence.written, probe.askedAtMs - evidence.boundMs));
    if (explanations(probe, { least, most }, evidence).length > 0) return [];
    return [describe(probe, `only by a configuration older than number ${least}`)];
  });
}

/** Answers explained only by an older configuration than one which the same process has shown before. */
function regressBreaches(probes: readonly ProbeHistory[], evidence: ProbeEvidence): string[] {
  const shown = new Map<string, { readonly number: number; readonly atMs: number }[]>();
  const inOrder = [...probes].sort((left, right) => left.answeredAtMs - right.answeredAtMs);
  return inOrder.flatMap((probe) => {
    const ofLife = shown.get(probe.life) ?? [];
    shown.set(probe.life, ofLife);
    const most = newestAt(evidence.written, probe.answeredAtMs);
    const possible = explanations(probe, { least: 0, most }, evidence);
    const earlier = ofLife.filter(({ atMs }) => atMs < probe.askedAtMs - ROLLBACK_SLACK_MS);
    const least = Math.max(0, ...earlier.map(({ number }) => number));
    ofLife.push({ number: possible[0] ?? 0, atMs: probe.answeredAtMs });
    if (possible.some((number) => number >= least)) return [];
    return [describe(probe, `after it had shown number ${least}`)];
  });
}

/** Added routes that are certainly in force are served. */
function unservedBreaches(probes: readonly ProbeHistory[], evidence: ProbeEvidence): string[] {
  const asked = probes.filter((probe) => isInTouch(probe, evidence) && isSurelyAdded(probe, evidence));
  const served = asked.filter(({ status }) => status === STATUS_OK).length;
  if (asked.length < JUDGED_REQUESTS || served >= asked.length * LEAST_SERVED) return [];
  return [`of ${asked.length} requests on added routes ${served} were served`];
}

function isSurelyAdded(probe: ProbeHistory, { written, boundMs }: ProbeEvidence): boolean {
  const most = newestAt(written, probe.answeredAtMs);
  const least = newestAt(written, probe.askedAtMs - boundMs);
  return least >= 0 && written.slice(least, most + 1).every(({ addedPaths }) => addedPaths.has(probe.path));
}

function describe(probe: ProbeHistory, why: string): string {
  const { node, path, status, askedAtMs } = probe;
  return `${node}: ${status} for ${path} at ${Math.round(askedAtMs)} ms, ${why}`;
}

/** All breaches of the promise that a confirmed configuration is in force soon and stays so. */
export function configurationBreaches(probes: readonly ProbeHistory[], evidence: ProbeEvidence): string[] {
  return [
    ...lateBreaches(probes, evidence),
    ...regressBreaches(probes, evidence),
    ...unservedBreaches(probes, evidence),
  ];
}
