/**
 * Structured logs of nodes with the product's own interface: roarr JSON lines on standard error, for changes
 * of state only. Requests are counted (`metrics.ts`), not logged.
 */
import './roarr-environment.js';
import { ROARR, Roarr } from 'roarr';

/** JSON values of a log line. */
export type LogFields = Record<string, string | number | boolean | null>;

export type LogSink = 'stderr' | 'silent';

/** Directs all log lines of this process to `sink`. */
export function configureLogging(sink: LogSink): void {
  ROARR.write = sink === 'stderr' ? (line: string) => process.stderr.write(`${line}\n`) : () => {};
}

export interface Logger {
  /** A change of state in normal operation. */
  info(message: string, fields?: LogFields): void;
  /** A change of state that needs an operator's attention. */
  warn(message: string, fields?: LogFields): void;
}

/** Creates a logger that adds `context` to each line. */
export function createLogger(context: LogFields): Logger {
  const log = Roarr.child(context);
  return {
    info: (message, fields = {}) => log.info(fields, message),
    warn: (message, fields = {}) => log.warn(fields, message),
  };
}
