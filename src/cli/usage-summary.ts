/** Lists usage windows for operators. Reads the store directly, so that no node needs to be running. */
import type { Result } from 'neverthrow';
import type { TenantCounts } from '../protocol/service/usage.js';
import type { StoredReport, UsageRepository } from '../state/service/usage/index.js';
import type { StateError } from '../state/state-error.js';
import { formatTable } from './output.js';

export interface WindowSummary {
  readonly window: number;
  /** `decided`: the counts are final, but the collector has not accepted the report yet. */
  readonly state: 'decided' | 'reported';
  /** ID of the node that finalized the counts. */
  readonly decidedBy: string;
  readonly tenants: number;
  readonly requests: number;
}

/** Counts of one process of a node in a window. */
export interface NodeCounts {
  readonly node: string;
  /** Whether the window had ended when the process last wrote its counts. */
  readonly isClosed: boolean;
  readonly counts: TenantCounts;
}

/** A window's report and the counts of each process, which are kept for a few windows only. */
export interface WindowDetail {
  /** `undefined` until the counts are final. */
  readonly report: StoredReport | undefined;
  readonly nodes: readonly NodeCounts[];
}

const total = (counts: TenantCounts) => Object.values(counts).reduce((sum, count) => sum + count, 0);

function toSummary({ window, isReported, decidedBy, counts }: StoredReport): WindowSummary {
  return {
    window,
    state: isReported ? 'reported' : 'decided',
    decidedBy,
    tenants: Object.keys(counts).length,
    requests: total(counts),
  };
}

/** All stored windows with final counts, newest first. */
export async function listWindows(repository: UsageRepository): Promise<Result<WindowSummary[], StateError>> {
  const reports = await repository.reports();
  return reports.map((all) => all.map(toSummary).reverse());
}

/** One window; `undefined` if neither a report nor counts of it are stored. */
export async function showWindow(
  repository: UsageRepository,
  window: number,
): Promise<Result<WindowDetail | undefined, StateError>> {
  const counts = await repository.countsOf(window, window);
  if (counts.isErr()) return counts.map(() => undefined);
  const nodes = counts.value.map(({ node, isClosed, counts }) => ({ node, isClosed, counts }));
  const reports = await repository.reports();
  return reports.map((all) => {
    const report = all.find((candidate) => candidate.window === window);
    return report || nodes.length > 0 ? { report, nodes } : undefined;
  });
}

export function windowTable(windows: readonly WindowSummary[]): string {
  const head = ['WINDOW', 'STATE', 'DECIDED BY', 'TENANTS', 'REQUESTS'];
  const rows = windows.map(({ window, state, decidedBy, tenants, requests }) => [
    String(window),
    state,
    decidedBy,
    String(tenants),
    String(requests),
  ]);
  return formatTable(head, rows);
}

/** Formats a window as a table: the reported counts of each tenant, then the counts of each process. */
export function windowDetailTable({ report, nodes }: WindowDetail): string {
  const reported = Object.entries(report?.counts ?? {}).map(([tenant, count]) => [
    'reported',
    report?.decidedBy ?? '',
    tenant,
    String(count),
  ]);
  const counted = nodes.flatMap(({ node, isClosed, counts }) =>
    Object.entries(counts).map(([tenant, count]) => [
      isClosed ? 'closed' : 'open',
      node,
      tenant,
      String(count),
    ]),
  );
  return formatTable(['STATE', 'NODE', 'TENANT', 'REQUESTS'], [...reported, ...counted]);
}
