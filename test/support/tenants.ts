/** Tenants for tests, and what their requests and reports of usage must agree on. */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import type { ReceivedReport } from '../../emulator/usage/usage-server.js';
import { usualConfiguration } from './service-system.js';

/** A tenant as the operator's row has it. */
export interface TenantRow {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly priority?: number;
}

export const LARGE: TenantRow = { name: 'large', apiKeys: ['large-key-1', 'large-key-2'], priority: 1 };
export const SMALL: TenantRow = { name: 'small', apiKeys: ['small-key-1'] };

/** The usual configuration with tenants; scoring calls need no key. */
export function tenantConfiguration(version: number, tenants: readonly TenantRow[] = [LARGE, SMALL]): object {
  return { ...usualConfiguration(version, { score: { public: true } }), tenants };
}

/** Header fields of a caller that bears a key. */
export function bearing(key: string): Record<string, string> {
  return { authorization: `Bearer ${key}` };
}

/** Requests that replicas began to run in each window, by tenant. */
export function begunByWindow(
  replicas: readonly ReplicaServer[],
  windowMs: number,
): Map<number, Record<string, number>> {
  const windows = new Map<number, Record<string, number>>();
  for (const { received } of replicas)
    for (const { tenant, beganAtMs } of received) {
      if (tenant === undefined || beganAtMs === undefined) continue;
      const window = Math.floor(beganAtMs / windowMs);
      const counts = windows.get(window) ?? {};
      counts[tenant] = (counts[tenant] ?? 0) + 1;
      windows.set(window, counts);
    }
  return windows;
}

/** What is wrong with reports in themselves: one line for each breach. */
export function reportBreaches(reports: readonly ReceivedReport[], apartMs: number): string[] {
  const found: string[] = [];
  const first = new Map<number, string>();
  for (const { window, counts } of reports) {
    const text = JSON.stringify(counts);
    const before = first.get(window);
    if (before !== undefined && before !== text) found.push(`window ${window}: ${before}, then ${text}`);
    first.set(window, text);
  }
  const arrived = [...reports].sort((left, right) => left.atMs - right.atMs);
  for (const [at, report] of arrived.entries()) {
    const before = arrived[at - 1];
    if (before && report.fence < before.fence) found.push(`token ${report.fence} after ${before.fence}`);
    if (before && before.holder !== report.holder && report.atMs - before.atMs < apartMs)
      found.push(`${before.holder} and ${report.holder} ${Math.round(report.atMs - before.atMs)} ms apart`);
  }
  return found;
}
