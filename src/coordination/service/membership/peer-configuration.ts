/**
 * What a node that does not hear of changes of the configuration learns from nodes that do: the newest configuration, so that
 * the operator's changes take effect here too and a key that was taken away is not taken for longer. Where the store does not
 * serve this node at all, also that it is there, so that others will take this node's jobs over. Versions only rise,
 * whoever brings them.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { PeerConfigurationAnswer } from '../../../protocol/service/configuration-peer.js';

/** How often a node looks whether it hears of changes, milliseconds. */
const LOOK_MS = 400;
/** Nodes that are asked in one turn, one after the other, until one is served. */
const ASKED = 4;
/**
 * Turns in a row in which another node is served and this one is not, after which this one counts as turned away: after a
 * pause of its own a node hears of the store within the first.
 */
const TURNED_AWAY_TURNS = 2;
/** How long the word of another node counts, milliseconds: two turns. */
const CONFIRMED_MS = 2_500;

/** What the task works with. */
export interface PeerConfigurationServices {
  readonly isStoreAnswering: () => boolean;
  /** Whether the store itself has told of changes lately. */
  readonly isFollowed: () => boolean;
  /** Addresses of other nodes, the likeliest to be served first. */
  readonly peers: (count: number) => readonly string[];
  /** Version in force; 0 while none is known. */
  readonly version: () => number;
  readonly ask: (address: string, version: number) => Promise<PeerConfigurationAnswer>;
  /** Takes the operator's record. */
  readonly take: (value: Buffer) => void;
  /** Called while the store serves others and has not served this node for some time. */
  readonly onRejectedByStore: () => void;
  readonly logger: DecisionLogger;
}

/** The task of one node. */
export class PeerConfiguration {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private turnsAway = 0;
  private wasFollowed = false;

  constructor(
    private readonly services: PeerConfigurationServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Whether a node that the store serves has said a moment ago that the configuration here is the newest. */
  get isConfirmed(): boolean {
    return this.clock.now() - this.confirmedAtMs < CONFIRMED_MS;
  }

  /** Asks while the store tells of no changes, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.services.isStoreAnswering()) this.turnsAway = 0;
      this.reportFollowed();
      if (!this.hearsOfChanges) await this.askInTurn();
      await this.clock.sleep(LOOK_MS, signal);
    }
  }

  private get hearsOfChanges(): boolean {
    return this.services.isStoreAnswering() && this.services.isFollowed();
  }

  private async askInTurn(): Promise<void> {
    for (const address of this.services.peers(ASKED)) {
      if (this.hearsOfChanges) return;
      const askedAtMs = this.clock.now();
      const before = this.services.version();
      const answer = await this.services.ask(address, before);
      if (answer.kind === 'unavailable') continue;
      if (answer.kind === 'newer') this.services.take(answer.value);
      this.confirmedAtMs = askedAtMs;
      if (answer.kind === 'newer') this.report(address);
      this.noteTurnedAway();
      return;
    }
  }

  private noteTurnedAway(): void {
    if (this.services.isStoreAnswering()) return;
    this.turnsAway += 1;
    if (this.turnsAway >= TURNED_AWAY_TURNS) this.services.onRejectedByStore();
  }

  private reportFollowed(): void {
    const isFollowed = this.services.isFollowed();
    if (isFollowed === this.wasFollowed) return;
    this.wasFollowed = isFollowed;
    this.services.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: 'changes',
      change: isFollowed ? 'the store tells of them' : 'the store has not told of them within their bound',
      version: this.services.version(),
    });
  }

  private report(address: string): void {
    this.services.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `from ${address}`,
      change: 'brought by another node',
      version: this.services.version(),
    });
  }
}
