/** Usage windows as operators see them, read from the store without a call to any node. */
import type { Result } from 'neverthrow';
import type { TenantCounts } from '../protocol/service/usage.js';
import type { StoredReport, UsageRepository } from '../state/service/usage/index.js';
import type { StateError } from '../state/state-error.js';
import { formatTable } from './output.js';

/** Summary of a window. */
export interface WindowSummary {
  readonly window: number;
  readonly state: 'decided' | 'reported';
  /** Node that decided. */
  readonly decidedBy: string;
  readonly tenants: number;
  readonly requests: number;
}

/** Counts of one process in a window. */
export interface NodeCounts {
  readonly node: string;
  /** Whether the window was over for it when it last wrote. */
  readonly isClosed: boolean;
  readonly counts: TenantCounts;
}

/** A window with its report and the counts behind it, which are kept for a few windows. */
export interface WindowDetail {
  /** `undefined` while it is not decided. */
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

/** All windows that were decided on and are kept, the newest first. */
export async function listWindows(repository: UsageRepository): Promise<Result<WindowSummary[], StateError>> {
  const reports = await repository.reports();
  return reports.map((all) => all.map(toSummary).reverse());
}

/** One window, `undefined` when nothing is known of it. */
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

/** Windows as an aligned table. */
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

/** One window as an aligned table: what is reported of each tenant, then what each node has counted. */
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
