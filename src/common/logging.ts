/**
 * Structured logs of nodes of the product's own interface: roarr JSON lines on standard error, for changes of
 * state only. Requests are counted (`metrics.ts`), not logged.
 */
import './roarr-environment.js';
import { ROARR, Roarr } from 'roarr';

/** Fields of a log line: plain JSON values. */
export type LogFields = Record<string, string | number | boolean | null>;

/** Where log lines go. */
export type LogSink = 'stderr' | 'silent';

/** Directs all log lines of this process to `sink`. */
export function configureLogging(sink: LogSink): void {
  ROARR.write = sink === 'stderr' ? (line: string) => process.stderr.write(`${line}\n`) : () => {};
}

/** Logs of one component. */
export interface Logger {
  /** A change of state in normal operation. */
  info(message: string, fields?: LogFields): void;
  /** A change of state that needs an operator's attention. */
  warn(message: string, fields?: LogFields): void;
}

/** A logger whose lines carry `context`. */
export function createLogger(context: LogFields): Logger {
  const log = Roarr.child(context);
  return {
    info: (message, fields = {}) => log.info(fields, message),
    warn: (message, fields = {}) => log.warn(fields, message),
  };
}
