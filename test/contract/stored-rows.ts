/** Rows that are kept as a fixture, and how they come into a stand-in's store: times and addresses are those of the test. */

import type { StoreServer } from '../../emulator/store/store-server.js';
import { monotonicMs } from '../../src/common/clock.js';

/** A row as the fixture has it; its text may name moments before now, windows of a second, and addresses. */
export interface KeptRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly text: string;
}

const WINDOW_DIGITS = 12;
const MILLISECONDS_PER_SECOND = 1_000;

/** Fills in what a text names. */
export function filledIn(text: string, addresses: Readonly<Record<string, string>>): string {
  const window = Math.floor(Date.now() / MILLISECONDS_PER_SECOND);
  return text
    .replace(/\{\{now-(-?\d+)\}\}/g, (_, ms: string) => String(Math.round(monotonicMs()) - Number(ms)))
    .replace(/\{\{window-(\d+)\}\}/g, (_, count: string) =>
      String(window - Number(count)).padStart(WINDOW_DIGITS, '0'),
    )
    .replace(/\{\{(\w+)\}\}/g, (_, name: string) => addresses[name] ?? '');
}

/** Writes rows in their order. */
export function loadRows(
  store: StoreServer,
  rows: readonly KeptRow[],
  addresses: Readonly<Record<string, string>> = {},
): void {
  for (const { table, part, key, text } of rows) {
    const value = Buffer.from(filledIn(text, addresses), 'utf8').toString('base64');
    store.rows.transact({ put: [{ table, part, key: filledIn(key, addresses), value }] });
  }
}
