/** Reports of tenants' usage to the usage collector, one for each time window. */
import type { Result } from 'neverthrow';
import type { TransportError } from '../../transport/transport-error.js';

/** Number of requests that started to run, by tenant. */
export type TenantCounts = Readonly<Record<string, number>>;

/** Window k starts k window lengths after the Unix epoch. */
export interface UsageReport {
  readonly window: number;
  readonly counts: TenantCounts;
}

/** The node that sends a report. Tokens are unique, and a later sender has a higher one. */
export interface ReportSender {
  readonly node: string;
  readonly fencingToken: number;
}

/** Answer to a report. `taken` means accepted. */
export type ReportOutcome = 'taken' | 'rate-limited' | 'fenced-off' | 'rejected';

/** Client of the usage collector. Never retries a call; exact repeats have no further effect. */
export interface UsageSink {
  report(
    report: UsageReport,
    sender: ReportSender,
    timeoutMs: number,
  ): Promise<Result<ReportOutcome, TransportError>>;
}
