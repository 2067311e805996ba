/**
 * What a node that the store does not serve learns from other nodes of requests that end replicas, and tells them: it would
 * put replicas at risk under requests that all others hold back, and keep to itself what ends here.
 */
import type { CrashReportMessage, CrashReportsAnswer } from '../../../protocol/service/crash-report-peer.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** How often a node that is not served asks when it has nothing to tell, milliseconds. */
const EXCHANGE_MS = 500;
/** Nodes that are asked in one turn, one after the other, until one is served. */
const ASKED = 4;

/** What the task works with. */
export interface QuarantineExchangeServices {
  readonly quarantine: RequestQuarantine;
  readonly isStoreAnswering: () => boolean;
  /** Addresses of other nodes, the likeliest to be served first. */
  readonly peers: (count: number) => readonly string[];
  readonly ask: (
    address: string,
    reports: readonly CrashReportMessage[],
  ) => Promise<CrashReportsAnswer | undefined>;
}

/** The task of one node. */
export class QuarantineExchange {
  constructor(private readonly services: QuarantineExchangeServices) {}

  /** Asks while the store is out of reach, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.services.isStoreAnswering()) await this.exchangeInTurn();
      await this.services.quarantine.reports.untilNews(EXCHANGE_MS, signal);
    }
  }

  private async exchangeInTurn(): Promise<void> {
    const { quarantine, peers, ask } = this.services;
    for (const address of peers(ASKED)) {
      const answer = await ask(address, quarantine.reports.unreported);
      if (!answer) continue;
      quarantine.takeFromPeer(answer.reports);
      if (answer.isServed) return;
    }
  }
}
