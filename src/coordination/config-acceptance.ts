/**
 * When a committed change counts as accepted: a majority of the members holds it. A commit that was made from
 * the small side of a cut reaches no majority; it stands in the table and comes into force when the cut is
 * mended, but it is not reported as accepted while the majority still acts on the revision before.
 */
import { monotonicMs, sleep } from '../common/clock.js';
import type { PeerClient } from '../protocol/peer.js';
import type { ConfigView } from '../state/config-view.js';
import type { ConfigDistribution } from './config-distribution.js';
import type { Membership } from './membership.js';

/** Who holds a revision. */
export interface AcceptanceReport {
  readonly revision: number;
  readonly accepted: boolean;
  /** Whether every member that is believed alive holds it. */
  readonly inForceEverywhere: boolean;
  readonly holders: number;
  readonly members: number;
}

const ROUND_WAIT_MS = 500;
const RETRY_DELAY_MS = 50;
/** Newest entries that go along with the question; a member that is further behind fetches them. */
const PUSHED_ENTRIES = 4;

/** Finds out who holds a revision. */
export class ConfigAcceptance {
  constructor(
    private readonly view: ConfigView,
    private readonly distribution: ConfigDistribution,
    private readonly membership: Membership,
    private readonly peers: PeerClient,
  ) {}

  /** Waits until a majority holds the revision, at most `timeoutMs`. */
  async awaitAccepted(revision: number, timeoutMs: number): Promise<AcceptanceReport> {
    const deadline = monotonicMs() + timeoutMs;
    for (;;) {
      if (this.view.revision < revision) await this.distribution.readTable();
      const report = await this.report(revision, ROUND_WAIT_MS, true);
      if (report.accepted || monotonicMs() > deadline) return report;
      await sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Asks every member; each may take `waitMs` to get there. The question brings the entries along, so that a majority
   * does not depend on the tree, of which a part may be paused. With `untilMajority` the slow ones are not waited for.
   */
  async report(revision: number, waitMs: number, untilMajority = false): Promise<AcceptanceReport> {
    const others = this.membership.members.others();
    const query = {
      atLeast: revision,
      waitMs,
      entries: [...this.view.newestEntries(PUSHED_ENTRIES)],
    };
    let members = this.membership.electorateSize();
    let holders = this.view.revision >= revision ? 1 : 0;
    const isMajority = () => holders > members / 2;
    await new Promise<void>((resolve) => {
      let pending = others.length;
      const finishIfDone = () => {
        if (pending === 0 || (untilMajority && isMajority())) resolve();
      };
      for (const member of others) {
        void this.peers.revision(member.address, query).then((answer) => {
          pending -= 1;
          if (answer.isOk() && answer.value.revision >= revision) holders += 1;
          if (answer.isOk()) members = Math.max(members, answer.value.electorate);
          finishIfDone();
        });
      }
      finishIfDone();
    });
    return {
      revision,
      accepted: isMajority(),
      inForceEverywhere: holders >= others.length + 1,
      holders,
      members,
    };
  }
}
