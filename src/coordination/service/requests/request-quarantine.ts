/**
 * Keeps requests that end replicas away from them. Whoever sends a request to a replica asks here before and tells of each
 * run under which a replica ended; what one node learns, all others hear through the store within milliseconds, and nodes
 * that start later read it there. The store is never waited for: a node judges by what it knows. A node that the store does
 * not serve exchanges reports with others (`quarantine-exchange.ts`).
 */
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ChangedRecord, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { CrashReportMessage } from '../../../protocol/service/crash-report-peer.js';
import {
  CRASH_EXPIRY_MS,
  CRASH_PARTITION,
  type Crash,
  CrashHistory,
  parseCrashReport,
  toCrashRecord,
  toServedRecord,
  type Verdict,
} from '../../../state/service/replicas/index.js';
import { FOLLOWED_TABLE } from '../../../state/service/store/index.js';
import { type FeedHandler, readPartition } from '../../feeds/index.js';
import { digestOf, type IdentifiedRequest, type UsedReplica } from '../dispatch/index.js';
import { CrashReports } from './crash-reports.js';

const CLEAR: Verdict = { kind: 'clear' };
const CRASH_ADDRESS = { table: FOLLOWED_TABLE, partition: CRASH_PARTITION } as const;

/** What the quarantine works with. */
export interface QuarantineServices {
  readonly store: RecordStore;
  readonly metrics: Pick<ServiceMetrics, 'quarantinedRequests' | 'suspectRequests'>;
  readonly logger: DecisionLogger;
}

/** The quarantine of one node. */
export class RequestQuarantine implements FeedHandler<readonly StoredRecord[]> {
  readonly table = FOLLOWED_TABLE;
  readonly reports: CrashReports;
  private readonly runs = new CrashHistory();
  private hasRead = false;

  constructor(private readonly services: QuarantineServices) {
    this.reports = new CrashReports(services.store);
  }

  /** Whether this node knows what others had reported before it started. */
  get isInformed(): boolean {
    return this.hasRead;
  }

  /** Whether a request may be sent to a replica now. Costs nothing while no replica has ended under a request. */
  judge(request: IdentifiedRequest): Verdict {
    if (this.runs.size === 0) return CLEAR;
    return this.runs.judge(digestOf(request), this.services.store.nowMs());
  }

  /** Counts a request that was not sent because of its verdict. */
  noteQuarantined(service: string): void {
    this.services.metrics.quarantinedRequests.inc({ service });
  }

  /** A replica has ended while it ran the request, and was not leaving: one that leaves has ended by plan. */
  noteCrash(request: IdentifiedRequest, { id, address }: UsedReplica): void {
    const run = { digest: digestOf(request), address, endedAtMs: this.services.store.nowMs() };
    if (this.take(run, 'here', id)) this.reports.share(toCrashRecord(run, id));
  }

  /** A replica has answered the request: it is not what ends them. */
  noteServed(request: IdentifiedRequest): void {
    if (this.runs.size === 0) return;
    const digest = digestOf(request);
    if (!this.runs.isAccused(digest)) return;
    const run = { digest, servedAtMs: this.services.store.nowMs() };
    this.runs.noteServed(run);
    this.reports.share(toServedRecord(run));
  }

  /** Takes reports of a node, and writes those that are new here for all others. */
  takeFromPeer(messages: readonly CrashReportMessage[]): void {
    for (const message of messages) {
      if (this.reports.knows(message)) continue;
      const { key, value } = message;
      const record = { ...CRASH_ADDRESS, key, value: Buffer.from(value, 'utf8') };
      if (this.takeReport(record)) this.reports.share(record);
    }
  }

  /** Brings the gauge up to date. */
  measure(): void {
    this.services.metrics.suspectRequests.set({}, this.runs.size);
  }

  /** What was read counts at once: the other kinds of the table may not be readable yet. */
  async readAll() {
    const read = await readPartition(this.services.store, FOLLOWED_TABLE, CRASH_PARTITION);
    if (read.isOk()) this.replaceAll(read.value.content);
    return read;
  }

  replaceAll(content: readonly StoredRecord[]): void {
    for (const record of content) this.takeReport(record);
    if (!this.hasRead) void this.reports.removeOverdue(content);
    this.hasRead = true;
  }

  apply({ key, value }: ChangedRecord): void {
    if (value !== undefined) this.takeReport({ key, value });
  }

  /** Takes a report of another node; false when it is none, or expired. */
  private takeReport(record: Pick<StoredRecord, 'key' | 'value'>): boolean {
    const report = parseCrashReport(record);
    if (!report || this.reports.isExpired(record)) return false;
    this.reports.remember({ key: record.key, value: record.value.toString('utf8') });
    if (report.kind === 'served') this.runs.noteServed(report.run);
    else this.take(report.run, 'another node', record.key);
    return true;
  }

  /** Takes a run; false when it was known. */
  private take(run: Crash, source: 'here' | 'another node', replica: string): boolean {
    const nowMs = this.services.store.nowMs();
    this.runs.forgetBefore(nowMs - CRASH_EXPIRY_MS);
    if (!this.runs.note(run)) return false;
    const verdict = this.runs.judge(run.digest, nowMs);
    this.services.logger.record({
      event: 'request-suspected',
      digest: run.digest,
      replica,
      address: run.address,
      source,
      verdict: verdict.kind,
      ends: verdict.kind === 'clear' ? 0 : verdict.ends,
      holdMs: verdict.kind === 'held' ? Math.round(verdict.retryAfterMs) : 0,
      ageMs: Math.round(nowMs - run.endedAtMs),
    });
    return true;
  }
}
