/**
 * Exchanges the configuration and crash reports with other nodes while the store does not answer one of them.
 * The addresses of peers are from earlier reads. When no peer reaches the store either, the node keeps using
 * its last known configuration.
 */
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import { type PeerAddresses, PeerConfiguration } from '../../coordination/service/membership/index.js';
import { CrashReportExchange, type RequestQuarantine } from '../../coordination/service/requests/index.js';
import type { PeerConfigurationAnswer } from '../../protocol/service/configuration-peer.js';
import type { CrashReportMessage, CrashReportsAnswer } from '../../protocol/service/crash-report-peer.js';
import type { NodeContext } from './node-context.js';
import type { NodeFeeds } from './node-feeds.js';

export interface PeerExchangeDependencies {
  readonly ownership: JobOwnership;
  readonly quarantine: RequestQuarantine;
  readonly peers: PeerAddresses;
  readonly feeds: NodeFeeds;
}

export class PeerExchange {
  private readonly configuration: PeerConfiguration;
  private readonly crashReports: CrashReportExchange;

  constructor(
    private readonly context: NodeContext,
    private readonly services: PeerExchangeDependencies,
  ) {
    const { store, logger, fetchPeerConfiguration, exchangeCrashReports } = context;
    const { ownership, quarantine, peers, feeds } = services;
    const isStoreAnswering = () => store.isAnswering();
    const rankedPeers = (count: number) => peers.rankedPeerAddresses(count);
    this.configuration = new PeerConfiguration({
      isStoreAnswering,
      isFeedCurrent: () => feeds.isConfigurationFresh,
      peers: rankedPeers,
      version: () => this.version,
      fetch: fetchPeerConfiguration,
      apply: (value) => feeds.operators.applyConfiguration(value),
      onRejectedByStore: () => ownership.cancelRuns(),
      logger,
    });
    this.crashReports = new CrashReportExchange({
      quarantine,
      isStoreAnswering,
      peers: rankedPeers,
      exchange: exchangeCrashReports,
    });
  }

  /** Polls peers while the store does not answer, until `signal` is aborted. */
  run(signal: AbortSignal): void {
    void this.configuration.run(signal);
    void this.crashReports.run(signal);
  }

  /** Whether a peer that reaches the store has recently confirmed the configuration of this node. */
  get isConfigurationConfirmed(): boolean {
    return this.configuration.isConfirmed;
  }

  /** Answers a peer's request for a configuration newer than `version`. */
  configurationFor(version: number): PeerConfigurationAnswer {
    const { feeds } = this.services;
    const { configuration } = feeds.operators;
    if (!configuration || !feeds.isConfigurationFresh) return { kind: 'unavailable' };
    return this.version > version ? { kind: 'newer', value: configuration } : { kind: 'same' };
  }

  /** Adds a peer's crash reports; returns those known here before. */
  exchangeCrashReports(reports: readonly CrashReportMessage[]): CrashReportsAnswer {
    const { quarantine } = this.services;
    const knownReports = quarantine.reports.recent;
    quarantine.addFromPeer(reports);
    return { isServed: this.context.store.isAnswering(), reports: [...knownReports] };
  }

  /** 0 without a configuration. */
  private get version(): number {
    return this.context.routing.current?.version ?? 0;
  }
}
