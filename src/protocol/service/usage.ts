/** Usage of tenants, as it is reported to whoever accounts for it: one report for each window of time. */
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

/** What became of a report that was answered. */
export type ReportOutcome = 'taken' | 'rate-limited' | 'fenced-off' | 'rejected';

/** Takes reports. An exact repeat changes nothing. No call is ever repeated by the client. */
export interface UsageSink {
  report(
    report: UsageReport,
    sender: ReportSender,
    timeoutMs: number,
  ): Promise<Result<ReportOutcome, TransportError>>;
}
