/** Figures of benchmarks, printed as a table and as one JSON line. */
import { formatTable } from '../src/cli/output.js';

/** Prints rows of figures, then the same as JSON. */
export function printFigures(name: string, rows: readonly Record<string, string | number>[]): void {
  const head = Object.keys(rows[0] ?? {});
  const shown = rows.map((row) => head.map((column) => formatFigure(row[column])));
  process.stdout.write(`${formatTable(head, shown)}\n`);
  process.stdout.write(`${JSON.stringify({ benchmark: name, rows })}\n`);
}

function formatFigure(value: string | number | undefined): string {
  return typeof value === 'number' ? Number(value.toPrecision(4)).toString() : (value ?? '');
}
