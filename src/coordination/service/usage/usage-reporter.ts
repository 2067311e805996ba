/**
 * Reports usage to the collector as a singleton task. The report of a window is decided, that is, stored
 * before it is sent, so that a successor sends the same report. It is decided when every node has closed the
 * window, or when waiting longer would miss the due time.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { TenantCounts, UsageSink } from '../../../protocol/service/usage.js';
import type { StoredReport, UsageRepository } from '../../../state/service/usage/index.js';
import type { LeaderLease } from '../leadership/index.js';
import type { UsageWindows } from './usage-window.js';
import { LOOKBACK_WINDOWS, missingNodes, sumByTenant } from './window-counts.js';

/** Lease target of all reports: the handover guard applies to every window. */
const LEASE_TARGET = 'usage';
const PASS_INTERVAL_MS = 300;
/** Time after the end of a window, by which nodes have normally closed it. */
const FIRST_CHECK_MS = 400;
/** Time reserved for sending between the latest decision and the due time. */
const SEND_MARGIN_MS = 2_500;
const SEND_TIMEOUT_MS = 2_000;
/** Limits the request rate while a backlog is sent. */
const REPORT_SPACING_MS = 50;
const RETRY_DELAY_MS = 250;
/** Failures after which the lease is released, since another node may be able to reach the collector. */
const MAX_CONSECUTIVE_FAILURES = 4;
/** Time for which a node does not acquire the lease again after releasing it. */
const LEADERSHIP_PAUSE_MS = 15_000;
/** Maximum number of past windows that a new leader reports. */
const MAX_BACKLOG = 200;
/** Windows retained before the last reported one; `missingNodes` needs the counts. */
const RETAINED_COUNT_WINDOWS = LOOKBACK_WINDOWS;
const RETAINED_REPORT_WINDOWS = 60;
const MAX_LOGGED_NODES = 5;

export interface UsageReporterServices {
  readonly repository: UsageRepository;
  readonly lease: LeaderLease;
  readonly sink: UsageSink;
  readonly windows: UsageWindows;
  /** Time after the end of a window at which its report is due. */
  readonly dueMs: number;
  readonly nodeName: string;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

interface LeadershipProgress {
  /** Epoch of the lease. */
  readonly epoch: number;
  /** Decided reports that the collector has not accepted, oldest first. */
  readonly unreported: StoredReport[];
  /** The next window to decide. */
  nextWindow: number;
}

export class UsageReporter {
  private progress: LeadershipProgress | undefined;
  private failures = 0;
  private pausedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly services: UsageReporterServices) {}

  /** False for `LEADERSHIP_PAUSE_MS` after failed reports. */
  get mayAcquireLease(): boolean {
    return monotonicMs() >= this.pausedUntilMs;
  }

  /** Runs until `signal` is aborted; reports only while the lease is held. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.services;
    while (!signal.aborted) {
      await lease.waitUntilHeld(signal);
      if (lease.isHeld) await this.pass(signal);
      await sleep(PASS_INTERVAL_MS, signal);
    }
  }

  private async pass(signal: AbortSignal): Promise<void> {
    const progress = await this.currentProgress();
    if (!progress) return;
    await this.sendAll(progress, signal);
    const { windows } = this.services;
    while (!signal.aborted && this.services.lease.isHeld) {
      if (windows.sinceEndMs(progress.nextWindow) < FIRST_CHECK_MS) return;
      if (!(await this.decide(progress))) return;
      if (!(await this.sendAll(progress, signal))) return;
    }
  }

  /** Progress in the current epoch, initially read from the store; `undefined` if that fails. */
  private async currentProgress(): Promise<LeadershipProgress | undefined> {
    const { lease, repository, windows } = this.services;
    const { epoch } = lease;
    if (this.progress?.epoch === epoch) return this.progress;
    const reports = await repository.reports();
    if (reports.isErr()) return undefined;
    // A report of a window that has not begun is another writer's, and would hold back all before it.
    const decided = reports.value.filter(({ window }) => window <= windows.current);
    const newest = decided.at(-1)?.window;
    const oldestBacklogWindow = windows.current - MAX_BACKLOG;
    const nextWindow = newest === undefined ? windows.current : Math.max(newest + 1, oldestBacklogWindow);
    const unreported = decided.filter(({ isReported }) => !isReported);
    this.progress = { epoch, unreported, nextWindow };
    return this.progress;
  }

  /** Decides the next window if possible. Returns whether it was decided. */
  private async decide(progress: LeadershipProgress): Promise<boolean> {
    const { repository, windows, dueMs, nodeName } = this.services;
    const window = progress.nextWindow;
    const counts = await repository.countsOf(window - LOOKBACK_WINDOWS, window);
    if (counts.isErr()) return false;
    const missing = missingNodes(counts.value, window);
    if (!isDecidable(missing, windows.sinceEndMs(window), dueMs)) return false;
    const decided = await repository.decide(window, sumByTenant(counts.value, window), nodeName);
    if (decided.isErr()) return false;
    progress.nextWindow = window + 1;
    if (!decided.value.isReported) progress.unreported.push(decided.value);
    this.logDecision(decided.value, missing);
    return true;
  }

  /** Sends decided reports, oldest first. Returns whether all were accepted. */
  private async sendAll({ unreported }: LeadershipProgress, signal: AbortSignal): Promise<boolean> {
    for (let report = unreported[0]; report !== undefined; report = unreported[0]) {
      if (signal.aborted || !(await this.send(report))) return false;
      unreported.shift();
      await sleep(REPORT_SPACING_MS, signal);
    }
    return true;
  }

  /** Sends a report under a fresh lease confirmation. Returns whether it was accepted. Idempotent. */
  private async send(report: StoredReport): Promise<boolean> {
    const { lease, sink, nodeName, repository } = this.services;
    if (!lease.allowsAction(LEASE_TARGET)) return false;
    const confirmation = await lease.confirm(LEASE_TARGET);
    if (!confirmation?.isFresh()) return false;
    const startedAtMs = monotonicMs();
    const { window, counts } = report;
    const sender = { node: nodeName, fencingToken: confirmation.epoch };
    const answer = await sink.report({ window, counts }, sender, SEND_TIMEOUT_MS);
    const outcome = answer.isOk() ? answer.value : `unanswered: ${answer.error.failure}`;
    this.logSending(report, outcome, confirmation.epoch, monotonicMs() - startedAtMs);
    // `taken`: the collector accepted the report.
    if (outcome !== 'taken') {
      await this.handleFailure();
      return false;
    }
    this.failures = 0;
    await repository.markReported(report);
    await repository.removeOld(window - RETAINED_COUNT_WINDOWS, window - RETAINED_REPORT_WINDOWS);
    return true;
  }

  private async handleFailure(): Promise<void> {
    this.failures += 1;
    if (this.failures < MAX_CONSECUTIVE_FAILURES) {
      await sleep(RETRY_DELAY_MS);
      return;
    }
    this.failures = 0;
    this.pausedUntilMs = monotonicMs() + LEADERSHIP_PAUSE_MS;
    await this.services.lease.release();
  }

  private logDecision(report: StoredReport, missing: readonly string[]): void {
    const { windows, logger } = this.services;
    logger.record({
      event: 'usage-decided',
      window: report.window,
      requests: total(report.counts),
      tenants: Object.keys(report.counts).length,
      missingNodes: missing.length,
      missing: missing.slice(0, MAX_LOGGED_NODES).join(','),
      decidedBy: report.decidedBy,
      sinceEndMs: Math.round(windows.sinceEndMs(report.window)),
    });
  }

  private logSending(report: StoredReport, outcome: string, fencingToken: number, tookMs: number): void {
    const { windows, logger, metrics } = this.services;
    const sinceEndMs = Math.round(windows.sinceEndMs(report.window));
    metrics.usageReports.inc({ outcome: outcome.startsWith('unanswered') ? 'unanswered' : outcome });
    logger.record({
      event: 'usage-reported',
      window: report.window,
      fencingToken,
      outcome,
      sinceEndMs,
      tookMs: Math.round(tookMs),
    });
  }
}

/** Whether a window is complete, or must be decided now to meet its due time. */
function isDecidable(missing: readonly string[], sinceEndMs: number, dueMs: number): boolean {
  return missing.length === 0 || sinceEndMs >= dueMs - SEND_MARGIN_MS;
}

function total(counts: TenantCounts): number {
  return Object.values(counts).reduce((all, count) => all + count, 0);
}
