/** Figures of benchmarks: medians over paired runs, printed as a table and as one JSON line. */
import { formatTable } from '../src/cli/output.js';

/** The median of some numbers. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? Number.NaN;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2;
}

/** Slope and intercept of the least-squares line through points. */
export function fitLine(points: readonly { x: number; y: number }[]): { slope: number; intercept: number } {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

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
