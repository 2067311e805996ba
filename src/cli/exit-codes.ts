/** Exit codes of the command line; documented in docs/OPERATIONS.md. */
import type { ProtocolError } from '../protocol/protocol-error.js';
import { problemOf } from '../protocol/resource/operator-client.js';

/** Exit codes. */
export const ExitCode = {
  ok: 0,
  /** The request was rejected or failed. */
  failed: 1,
  /** Flags, settings or declarations are wrong; nothing was sent. */
  invalidInput: 2,
  /** Another writer was first. */
  conflict: 3,
  notFound: 4,
  /** The system is not reachable or temporarily not able to serve; a retry may succeed. */
  unavailable: 5,
  /** `diff` found differences. */
  differences: 6,
} as const;

const RETRYABLE_STATUS = new Set([429, 502, 503, 504]);

/** The exit code for a failed exchange. */
export function exitCodeOf(error: ProtocolError): number {
  const problem = problemOf(error);
  if (error.failure === 'conflict') return ExitCode.conflict;
  if (problem?.code === 'not-found') return ExitCode.notFound;
  if (problem?.code === 'invalid-request') return ExitCode.invalidInput;
  if (error.failure === 'unavailable' || error.failure === 'rate-limited') return ExitCode.unavailable;
  return problem && RETRYABLE_STATUS.has(problem.status) ? ExitCode.unavailable : ExitCode.failed;
}
