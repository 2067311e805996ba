/** Usage of tenants, as it is reported to the usage collector: one report for each window of time. */
import type { Result } from 'neverthrow';
import type { TransportError } from '../../transport/transport-error.js';

/** Requests that began to run, by tenant. */
export type TenantCounts = Readonly<Record<string, number>>;

/** The report of one window. Window k begins k window lengths after the start of 1970. */
export interface UsageReport {
  readonly window: number;
  readonly counts: TenantCounts;
}

/** Who sends a report: two senders never share a token, and a later one has a higher token. */
export interface ReportSender {
  readonly node: string;
  readonly fencingToken: number;
}

/** Outcome of a report that was answered. `taken` means accepted. */
export type ReportOutcome = 'taken' | 'rate-limited' | 'fenced-off' | 'rejected';

/** Client of the usage collector. An exact repeat changes nothing; the client itself never repeats a call. */
export interface UsageSink {
  report(
    report: UsageReport,
    sender: ReportSender,
    timeoutMs: number,
  ): Promise<Result<ReportOutcome, TransportError>>;
}
