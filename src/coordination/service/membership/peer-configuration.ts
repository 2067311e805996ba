/**
 * Fetches the configuration from peers while this node gets no changes from the store. A peer that reaches
 * the store either confirms the current version or returns a newer one; if none reaches it, the current
 * version stays unconfirmed. When peers repeatedly reach the store and this node does not, the node counts as
 * rejected by the store.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { PeerConfigurationAnswer } from '../../../protocol/service/configuration-peer.js';

const CHECK_INTERVAL_MS = 400;
/** Peers are queried one after the other until one of them reaches the store. */
const MAX_PEERS_PER_ROUND = 4;
/**
 * Consecutive rounds in which a peer reached the store and this node did not. One is not enough: after a
 * process pause this node reaches the store again within the first.
 */
const REJECTED_ROUNDS = 2;
/** About two rounds. */
const CONFIRMATION_VALIDITY_MS = 2_500;

export interface PeerConfigurationServices {
  readonly isStoreAnswering: () => boolean;
  /** Whether changes from the store arrive within their bound. */
  readonly isFeedCurrent: () => boolean;
  /** Addresses of up to `count` peers, those most likely to reach the store first. */
  readonly peers: (count: number) => readonly string[];
  /** Current version; 0 while none is known. */
  readonly version: () => number;
  readonly fetch: (address: string, version: number) => Promise<PeerConfigurationAnswer>;
  /** Applies the configuration record as the operator wrote it. */
  readonly apply: (value: Buffer) => void;
  /** Called in every round in which this node counts as rejected by the store. */
  readonly onRejectedByStore: () => void;
  readonly logger: DecisionLogger;
}

export class PeerConfiguration {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private rejectedRounds = 0;
  private wasFeedCurrent = false;

  constructor(
    private readonly services: PeerConfigurationServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Whether a peer that reaches the store has recently confirmed that the local version is the newest. */
  get isConfirmed(): boolean {
    return this.clock.now() - this.confirmedAtMs < CONFIRMATION_VALIDITY_MS;
  }

  /** Queries peers while no changes arrive from the store, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.services.isStoreAnswering()) this.rejectedRounds = 0;
      this.logFeedState();
      if (!this.hasCurrentFeed) await this.queryPeers();
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  private get hasCurrentFeed(): boolean {
    return this.services.isStoreAnswering() && this.services.isFeedCurrent();
  }

  private async queryPeers(): Promise<void> {
    for (const address of this.services.peers(MAX_PEERS_PER_ROUND)) {
      if (this.hasCurrentFeed) return;
      const requestedAtMs = this.clock.now();
      const currentVersion = this.services.version();
      const answer = await this.services.fetch(address, currentVersion);
      if (answer.kind === 'unavailable') continue;
      if (answer.kind === 'newer') this.services.apply(answer.value);
      this.confirmedAtMs = requestedAtMs;
      if (answer.kind === 'newer') this.logReceived(address);
      this.countRejectedRound();
      return;
    }
  }

  private countRejectedRound(): void {
    if (this.services.isStoreAnswering()) return;
    this.rejectedRounds += 1;
    if (this.rejectedRounds >= REJECTED_ROUNDS) this.services.onRejectedByStore();
  }

  private logFeedState(): void {
    const isFeedCurrent = this.services.isFeedCurrent();
    if (isFeedCurrent === this.wasFeedCurrent) return;
    this.wasFeedCurrent = isFeedCurrent;
    this.services.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: 'changes',
      change: isFeedCurrent
        ? 'received from the store again'
        : 'not received from the store within the bound',
      version: this.services.version(),
    });
  }

  private logReceived(address: string): void {
    this.services.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `from ${address}`,
      change: 'received from a peer',
      version: this.services.version(),
    });
  }
}
