/**
 * Exchanges crash reports directly with peers while this node cannot reach the store, so that requests
 * quarantined by the other nodes do not run here, and vice versa.
 */
import type { CrashReportMessage, CrashReportsAnswer } from '../../../protocol/service/crash-report-peer.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** Interval between exchanges while this node has no new reports. */
const EXCHANGE_INTERVAL_MS = 500;
/** A round ends earlier at the first peer that has access to the store. */
const MAX_PEERS_PER_ROUND = 4;

export interface CrashReportExchangeServices {
  readonly quarantine: RequestQuarantine;
  readonly isStoreAnswering: () => boolean;
  /** Addresses (`IP:PORT`) of other nodes, those most likely to have access to the store first. */
  readonly peers: (count: number) => readonly string[];
  readonly exchange: (
    address: string,
    reports: readonly CrashReportMessage[],
  ) => Promise<CrashReportsAnswer | undefined>;
}

export class CrashReportExchange {
  constructor(private readonly services: CrashReportExchangeServices) {}

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.services.isStoreAnswering()) await this.exchangeWithPeers();
      await this.services.quarantine.reports.waitForPending(EXCHANGE_INTERVAL_MS, signal);
    }
  }

  private async exchangeWithPeers(): Promise<void> {
    const { quarantine, peers, exchange } = this.services;
    for (const address of peers(MAX_PEERS_PER_ROUND)) {
      const answer = await exchange(address, quarantine.reports.unwritten);
      if (!answer) continue;
      quarantine.addFromPeer(answer.reports);
      if (answer.isServed) return;
    }
  }
}
