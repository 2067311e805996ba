/**
 * Quarantines requests that crash replicas. Senders request a verdict before each attempt and report crashes;
 * the rules are in `crash-history.ts`. Work of jobs is reported but never quarantined. Reports are shared with
 * all nodes through the store. Verdicts never wait for the store: they use the reports known to this node.
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
  type QuarantineVerdict,
  toAnswerRecord,
  toCrashRecord,
  toJobWorkDigest,
} from '../../../state/service/replicas/index.js';
import { FOLLOWED_TABLE } from '../../../state/service/store/index.js';
import { applyEach, type FeedHandler, readPartition } from '../../feeds/index.js';
import { type AttemptedReplica, digestOf, type IdentifiedRequest } from '../dispatch/index.js';
import { CrashReports } from './crash-reports.js';

const CLEAR: QuarantineVerdict = { kind: 'clear' };
const CRASH_ADDRESS = { table: FOLLOWED_TABLE, partition: CRASH_PARTITION } as const;

/** Digest under which the crashes of a request are recorded. */
function suspectDigestOf(request: IdentifiedRequest): string {
  return request.isJobWork ? toJobWorkDigest(digestOf(request)) : digestOf(request);
}

export interface QuarantineServices {
  readonly store: RecordStore;
  readonly metrics: Pick<ServiceMetrics, 'quarantinedRequests' | 'suspectRequests'>;
  readonly logger: DecisionLogger;
}

export class RequestQuarantine implements FeedHandler<readonly StoredRecord[]> {
  readonly table = FOLLOWED_TABLE;
  readonly reports: CrashReports;
  private readonly history = new CrashHistory();
  private hasLoaded = false;

  constructor(private readonly services: QuarantineServices) {
    this.reports = new CrashReports(services.store);
  }

  /** Whether the reports in the store have been read since this process started. */
  get hasLoadedReports(): boolean {
    return this.hasLoaded;
  }

  /** Whether a request may be sent to a replica now. Computes its digest only if there are suspects. */
  evaluate(request: IdentifiedRequest): QuarantineVerdict {
    if (this.history.size === 0) return CLEAR;
    return this.history.verdictOf(suspectDigestOf(request), this.services.store.nowMs());
  }

  /** Counts a request that was not sent because of its verdict. */
  countQuarantined(service: string): void {
    this.services.metrics.quarantinedRequests.inc({ service });
  }

  /** Reports that a replica crashed while running the request. Not to be called for a planned shutdown. */
  reportCrash(request: IdentifiedRequest, { id, address }: AttemptedReplica): void {
    const crash = { digest: suspectDigestOf(request), address, endedAtMs: this.services.store.nowMs() };
    if (this.addCrash(crash, 'here', id)) this.reports.enqueue(toCrashRecord(crash, id));
  }

  /** Reports that a replica answered the request, which clears it of suspicion. */
  reportServed(request: IdentifiedRequest): void {
    if (this.history.size === 0) return;
    const digest = suspectDigestOf(request);
    if (!this.history.isSuspect(digest)) return;
    const run = { digest, servedAtMs: this.services.store.nowMs() };
    this.history.recordAnswer(run);
    this.reports.enqueue(toAnswerRecord(run));
  }

  /** Adds reports of a peer and publishes those that are new to this node. */
  addFromPeer(messages: readonly CrashReportMessage[]): void {
    for (const message of messages) {
      if (this.reports.has(message)) continue;
      const { key, value } = message;
      const record = { ...CRASH_ADDRESS, key, value: Buffer.from(value, 'utf8') };
      if (this.addReport(record)) this.reports.enqueue(record);
    }
  }

  /** Updates the gauge of suspected requests. */
  measure(): void {
    this.services.metrics.suspectRequests.set({}, this.history.size);
  }

  /** Applies the records immediately, since other partitions of the table may not be readable yet. */
  async readAll() {
    const read = await readPartition(this.services.store, FOLLOWED_TABLE, CRASH_PARTITION);
    if (read.isOk()) this.replaceAll(read.value.content);
    return read;
  }

  replaceAll(content: readonly StoredRecord[]): void {
    if (!this.hasLoaded) void this.reports.removeOrphaned(content);
    this.hasLoaded = true;
    applyEach(
      content,
      ({ key }) => key,
      (record) => this.addReport(record),
    );
  }

  apply({ key, value }: ChangedRecord): void {
    if (value !== undefined) this.addReport({ key, value });
  }

  /** Adds a report of another node. Returns false if it is malformed or has expired. */
  private addReport(record: Pick<StoredRecord, 'key' | 'value'>): boolean {
    const report = parseCrashReport(record);
    if (!report || this.reports.isExpired(record)) return false;
    this.reports.addRecent({ key: record.key, value: record.value.toString('utf8') });
    if (report.kind === 'served') this.history.recordAnswer(report.run);
    else this.addCrash(report.run, 'another node', record.key);
    return true;
  }

  /** Adds a crash and logs the resulting verdict. Returns false if the crash was known. */
  private addCrash(crash: Crash, source: 'here' | 'another node', replica: string): boolean {
    const nowMs = this.services.store.nowMs();
    this.history.expireBefore(nowMs - CRASH_EXPIRY_MS);
    if (!this.history.recordCrash(crash)) return false;
    const verdict = this.history.verdictOf(crash.digest, nowMs);
    this.services.logger.record({
      event: 'request-suspected',
      digest: crash.digest,
      replica,
      address: crash.address,
      source,
      verdict: verdict.kind,
      ends: verdict.kind === 'clear' ? 0 : verdict.ends,
      holdMs: verdict.kind === 'held' ? Math.round(verdict.retryAfterMs) : 0,
      ageMs: Math.round(nowMs - crash.endedAtMs),
    });
    return true;
  }
}
