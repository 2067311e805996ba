/**
 * Configuration from peers: what a node asks of others while the store reports no changes of the
 * configuration to it.
 *
 * Owns: since when a peer has confirmed the configuration here, and how often in a row a peer reached the
 * store when this node did not. Relies on: the addresses of peers. Versions only rise, whichever source they
 * come from. Where no peer reaches the store, the configuration stays as it is and is not confirmed.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { PeerConfigurationAnswer } from '../../../protocol/service/configuration-peer.js';

/** Interval of checks whether the store reports changes, milliseconds. Chosen, not measured. */
const CHECK_INTERVAL_MS = 400;
/** Peers asked in one round, one after the other, until one reaches the store. Chosen, not measured. */
const MAX_PEERS_PER_ROUND = 4;
/**
 * Rounds in a row in which a peer reached the store and this node did not, after which this node counts as
 * rejected by the store: after a process pause it reaches the store again within the first.
 */
const REJECTED_ROUNDS = 2;
/** Time for which a peer's confirmation counts, milliseconds: two rounds. */
const CONFIRMATION_VALIDITY_MS = 2_500;

/** What the task works with. */
export interface PeerConfigurationServices {
  readonly isStoreAnswering: () => boolean;
  /** Whether the store itself reports changes, within their bound. */
  readonly isFeedCurrent: () => boolean;
  /** Addresses of peers, the likeliest to reach the store first. */
  readonly peers: (count: number) => readonly string[];
  /** Version in force; 0 while none is known. */
  readonly version: () => number;
  readonly fetch: (address: string, version: number) => Promise<PeerConfigurationAnswer>;
  /** Takes over the operator's record. */
  readonly apply: (value: Buffer) => void;
  /** Called in each round in which this node counts as rejected by the store. May be called repeatedly. */
  readonly onRejectedByStore: () => void;
  readonly logger: DecisionLogger;
}

/** The task of one node. */
export class PeerConfiguration {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private rejectedRounds = 0;
  private wasFeedCurrent = false;

  constructor(
    private readonly services: PeerConfigurationServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Whether a peer that reaches the store has just confirmed that the configuration here is the newest. */
  get isConfirmed(): boolean {
    return this.clock.now() - this.confirmedAtMs < CONFIRMATION_VALIDITY_MS;
  }

  /** Asks peers while the store reports no changes, until `signal` is aborted. */
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
      change: isFeedCurrent ? 'followed again' : 'not followed within the bound',
      version: this.services.version(),
    });
  }

  private logReceived(address: string): void {
    this.services.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `from ${address}`,
      change: 'received from another node',
      version: this.services.version(),
    });
  }
}
