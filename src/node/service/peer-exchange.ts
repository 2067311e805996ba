/**
 * What nodes ask each other while the store does not answer one of them: the newest configuration, and crash
 * reports.
 *
 * Owns: both directions, the periodic questions and the answers to other nodes. Relies on: the addresses of
 * peers read earlier. Where no peer reaches the store either, the node goes on with its last known
 * configuration.
 */
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import { type PeerAddresses, PeerConfiguration } from '../../coordination/service/membership/index.js';
import { QuarantineExchange, type RequestQuarantine } from '../../coordination/service/requests/index.js';
import type { PeerConfigurationAnswer } from '../../protocol/service/configuration-peer.js';
import type { CrashReportMessage, CrashReportsAnswer } from '../../protocol/service/crash-report-peer.js';
import type { NodeFeeds } from './node-feeds.js';
import type { NodeContext } from './service-node-parts.js';

/** What is exchanged, and with whom. */
export interface PeerExchangeServices {
  readonly ownership: JobOwnership;
  readonly quarantine: RequestQuarantine;
  readonly peers: PeerAddresses;
  readonly feeds: NodeFeeds;
}

/** The exchange of one node with its peers. */
export class PeerExchange {
  private readonly configuration: PeerConfiguration;
  private readonly crashReports: QuarantineExchange;

  constructor(
    private readonly context: NodeContext,
    private readonly services: PeerExchangeServices,
  ) {
    const { store, logger, askForConfiguration, exchangeCrashReports } = context;
    const { ownership, quarantine, peers, feeds } = services;
    const isStoreAnswering = () => store.isAnswering();
    const likeliestPeers = (count: number) => peers.likeliestPeers(count);
    this.configuration = new PeerConfiguration({
      isStoreAnswering,
      isFollowed: () => feeds.isConfigurationFollowed,
      peers: likeliestPeers,
      version: () => this.version,
      ask: askForConfiguration,
      take: (value) => feeds.operators.takeConfiguration(value),
      onRejectedByStore: () => ownership.cancelRuns(),
      logger,
    });
    this.crashReports = new QuarantineExchange({
      quarantine,
      isStoreAnswering,
      peers: likeliestPeers,
      exchange: exchangeCrashReports,
    });
  }

  /** Asks peers while the store does not answer, until `signal` is aborted. */
  run(signal: AbortSignal): void {
    void this.configuration.run(signal);
    void this.crashReports.run(signal);
  }

  /** Whether a peer that reaches the store has just confirmed that the configuration here is the newest. */
  get isConfigurationConfirmed(): boolean {
    return this.configuration.isConfirmed;
  }

  /** Answers a peer that asks for a configuration newer than `version`. */
  configurationFor(version: number): PeerConfigurationAnswer {
    const { feeds } = this.services;
    const { configuration } = feeds.operators;
    if (!configuration || !feeds.isConfigurationFollowed) return { kind: 'unavailable' };
    return this.version > version ? { kind: 'newer', value: configuration } : { kind: 'same' };
  }

  /** Takes a peer's crash reports; answers with those known here before. */
  exchangeCrashReports(reports: readonly CrashReportMessage[]): CrashReportsAnswer {
    const { quarantine } = this.services;
    const known = quarantine.reports.newest;
    quarantine.addFromPeer(reports);
    return { isServed: this.context.store.isAnswering(), reports: [...known] };
  }

  /** Version of the configuration in force; 0 while none is known. */
  private get version(): number {
    return this.context.routing.current?.version ?? 0;
  }
}
