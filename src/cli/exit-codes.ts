/** Exit codes of the command line; documented in docs/OPERATIONS.md. */
import type { ProtocolError } from '../protocol/protocol-error.js';
import { problemOf } from '../protocol/resource/operator-client.js';

export const ExitCode = {
  ok: 0,
  /** The request was rejected or failed, and a retry is not expected to succeed. */
  failed: 1,
  /** Flags, settings or declarations are invalid, or the server rejected the request as invalid. */
  invalidInput: 2,
  /** The resource was modified concurrently. */
  conflict: 3,
  notFound: 4,
  /** The system is unreachable or temporarily unable to serve; a retry may succeed. */
  unavailable: 5,
  /** `diff` found differences. */
  differences: 6,
} as const;

const RETRYABLE_STATUS = new Set([429, 502, 503, 504]);

/** Maps a failed request to an exit code. */
export function exitCodeOf(error: ProtocolError): number {
  const problem = problemOf(error);
  if (error.failure === 'conflict') return ExitCode.conflict;
  if (problem?.code === 'not-found') return ExitCode.notFound;
  if (problem?.code === 'invalid-request') return ExitCode.invalidInput;
  if (error.failure === 'unavailable' || error.failure === 'rate-limited') return ExitCode.unavailable;
  return problem && RETRYABLE_STATUS.has(problem.status) ? ExitCode.unavailable : ExitCode.failed;
}
