/**
 * Exchanges crash reports with peers while the store rejects this node, which would otherwise run requests
 * that all others quarantine and keep its own reports to itself.
 *
 * Relies on the addresses of peers. If none answers, this node decides by what it knows and asks again after
 * `EXCHANGE_MS`.
 */
import type { CrashReportMessage, CrashReportsAnswer } from '../../../protocol/service/crash-report-peer.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** Interval of the exchange when this node has no new reports, milliseconds. Chosen, not measured. */
const EXCHANGE_INTERVAL_MS = 500;
/** Most peers asked in one round, until the store serves one. Chosen, not measured: bounds the calls. */
const MAX_PEERS_PER_ROUND = 4;

/** Dependencies of the exchange. */
export interface CrashReportExchangeServices {
  readonly quarantine: RequestQuarantine;
  readonly isStoreAnswering: () => boolean;
  /** Addresses (`IP:PORT`) of other nodes, those that the store most likely serves first. */
  readonly peers: (count: number) => readonly string[];
  readonly exchange: (
    address: string,
    reports: readonly CrashReportMessage[],
  ) => Promise<CrashReportsAnswer | undefined>;
}

/** The exchange of one node. */
export class CrashReportExchange {
  constructor(private readonly services: CrashReportExchangeServices) {}

  /** Exchanges while the store does not answer, until `signal` is aborted. */
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
