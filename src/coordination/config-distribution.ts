/**
 * Distribution of accepted configuration. The root of a zone's tree reads the head row of the table; every other
 * node keeps one long poll open to its parent. Each answer carries the age of its confirmation, and the age is
 * counted from before the question was asked, so that no pause of either side makes it look younger.
 *
 * When the table cannot be read, a majority of the members confirms among itself: a change counts as accepted
 * only when a majority holds it (see `config-acceptance.ts`), so a majority that knows of none has missed none.
 */
import { monotonicMs, sleep } from '../common/clock.js';
import type { LifecycleObserver } from '../common/lifecycle.js';
import type { Random } from '../common/random.js';
import type {
  ConfigPull,
  ConfigPullAnswer,
  MemberRecord,
  PeerClient,
  RevisionAnswer,
  RevisionQuery,
} from '../protocol/peer.js';
import type { Resource } from '../protocol/resource.js';
import type { ConfigStore } from '../state/config-store.js';
import type { ConfigView } from '../state/config-view.js';
import type { FreshnessLease } from '../state/freshness-lease.js';
import { parentInTree } from './config-tree.js';
import type { Membership } from './membership.js';

/** Times and numbers of the distribution. */
export interface DistributionOptions {
  /** Time between two reads of the head row by a root, milliseconds. */
  readonly headPollMs: number;
  /** How long a parent may hold an answer, milliseconds. */
  readonly holdMs: number;
  /** Children of a node in the tree. */
  readonly fanout: number;
}

/**
 * Part of the freshness lease after which a node asks others than its parent. Members that pass an ageing
 * confirmation round among themselves must come to ask a majority before the lease lapses.
 */
const IMPATIENCE = 0.6;
/** Part of the freshness lease between two questions to all members: each one costs as many messages as there are members. */
const MAJORITY_INTERVAL = 0.25;
const RETRY_DELAY_MS = 100;

/** One node's part in the distribution. */
export class ConfigDistribution {
  private hasLoaded = false;
  private hasReadTable = false;
  /** Whether the last member that was asked for configuration answered. */
  private reachedPeer = false;
  private majorityAskedAtMs = Number.NEGATIVE_INFINITY;
  private wakeUp = new AbortController();

  constructor(
    private readonly view: ConfigView,
    private readonly store: ConfigStore,
    private readonly lease: FreshnessLease,
    private readonly membership: Membership,
    private readonly peers: PeerClient,
    private readonly options: DistributionOptions,
    private readonly random: Random,
    private readonly observer: LifecycleObserver,
  ) {
    view.subscribe((_events, revision) => observer.metrics.configRevision.set(revision));
  }

  /**
   * Whether this node may vote in a majority: only once it has read the table itself since it started and a majority
   * knows it. A node that learnt everything from others would repeat their vote, not add one.
   */
  get isVoter(): boolean {
    return this.hasReadTable && this.membership.isEstablished;
  }

  /** Whether this node has loaded the configuration since it started. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Keeps the configuration up to date until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.wakeUp = new AbortController();
      const interrupt = AbortSignal.any([signal, this.wakeUp.signal]);
      const parent = this.hasLoaded ? this.parent() : undefined;
      const updated = parent
        ? await this.pullFrom(parent, this.options.holdMs, interrupt)
        : await this.readTable();
      if (!updated && !this.isRecent()) await this.askOthers(parent);
      if (!parent) await sleep(this.options.headPollMs, interrupt);
      else if (!updated) await sleep(RETRY_DELAY_MS, interrupt);
    }
  }

  /** Asks again at once: a newer revision is known to exist. */
  wake(): void {
    this.wakeUp.abort();
  }

  /** Catches up with the table now; true when the configuration is confirmed. */
  readTable(): Promise<boolean> {
    return this.countOutcome('read-head', () => this.readTableOnce());
  }

  /** Answers a member's pull. */
  async answerPull(pull: ConfigPull, signal?: AbortSignal): Promise<ConfigPullAnswer> {
    const receivedAt = monotonicMs();
    await this.view.waitForRevision(pull.haveRevision + 1, pull.waitMs, signal);
    const age = this.lease.ageMs();
    const entries = this.view.entriesAfter(pull.haveRevision);
    return {
      revision: this.view.revision,
      confirmedAgeMs: this.hasLoaded && Number.isFinite(age) ? age : undefined,
      heldMs: monotonicMs() - receivedAt,
      entries: [...(entries ?? [])],
      snapshot: entries ? undefined : this.snapshot(),
    };
  }

  /** Answers a member's question for the revision in force. */
  async answerRevision(query: RevisionQuery): Promise<RevisionAnswer> {
    if (this.hasLoaded) for (const entry of query.entries) this.view.apply(entry);
    if (query.atLeast > this.view.revision) this.wake();
    await this.view.waitForRevision(query.atLeast, query.waitMs);
    return {
      id: this.membership.members.own.id,
      revision: this.view.revision,
      voter: this.isVoter,
      electorate: this.membership.electorateSize(),
    };
  }

  private parent(): MemberRecord | undefined {
    const { members } = this.membership;
    return parentInTree(members.own, members.active(), this.options.fanout);
  }

  private async readTableOnce(): Promise<boolean> {
    const askedAt = monotonicMs();
    const head = await this.store.head();
    if (head.isErr()) return false;
    if (!this.hasLoaded && !(await this.loadFromTable())) return false;
    while (this.view.revision < head.value) {
      const entries = await this.store.entries(this.view.revision, head.value);
      if (entries.isErr() || !entries.value.some((entry) => this.view.apply(entry))) return false;
    }
    this.hasReadTable = true;
    this.confirm(askedAt);
    return true;
  }

  private async loadFromTable(): Promise<boolean> {
    const snapshot = await this.store.snapshot();
    if (snapshot.isErr()) return false;
    this.view.loadSnapshot(snapshot.value.revision, snapshot.value.resources);
    return true;
  }

  /**
   * Asks one more member, then the table, then a majority. Only a root, or a node whose parent cannot be reached, asks
   * a majority: a parent that is merely behind will be confirmed itself, and if all its children asked everybody, the
   * questions would be the square of the members.
   */
  private async askOthers(parent: MemberRecord | undefined): Promise<void> {
    const others = this.membership.members.others().filter((member) => member.id !== parent?.id);
    const [other] = this.random.sample(others, 1);
    if (other && (await this.pullFrom(other, 0))) return;
    if (parent && (await this.readTable())) return;
    const isRoot = this.parent() === undefined;
    if (isRoot || !this.reachedPeer) await this.confirmByMajority();
  }

  /** Pulls from a member; true when its answer confirms the configuration. */
  private pullFrom(member: MemberRecord, holdMs: number, signal?: AbortSignal): Promise<boolean> {
    return this.countOutcome('pull', () => this.pullOnce(member, holdMs, signal));
  }

  private async pullOnce(member: MemberRecord, holdMs: number, signal?: AbortSignal): Promise<boolean> {
    const askedAt = monotonicMs();
    const pull = { haveRevision: this.view.revision, waitMs: holdMs };
    const answer = await this.peers.pullConfig(member.address, pull, signal);
    this.reachedPeer = answer.isOk();
    if (answer.isErr()) return false;
    const { revision, confirmedAgeMs, heldMs } = answer.value;
    this.takeOver(answer.value);
    if (confirmedAgeMs === undefined || this.view.revision < revision) return false;
    const confirmedAt = askedAt + heldMs - confirmedAgeMs;
    this.confirm(confirmedAt);
    return this.isRecent();
  }

  /** Whether the last confirmation is recent enough to rely on the same source again. */
  private isRecent(): boolean {
    return this.lease.ageMs() < IMPATIENCE * this.lease.lengthMs;
  }

  private takeOver(answer: ConfigPullAnswer): void {
    if (answer.snapshot) {
      const resources = answer.snapshot.map((change) => change.resource as Resource);
      this.view.loadSnapshot(answer.revision, resources);
    }
    for (const entry of answer.entries) this.view.apply(entry);
  }

  /** A majority that holds no newer revision confirms this one. */
  private async confirmByMajority(): Promise<boolean> {
    const askedAt = monotonicMs();
    if (askedAt - this.majorityAskedAtMs < MAJORITY_INTERVAL * this.lease.lengthMs) return false;
    this.majorityAskedAtMs = askedAt;
    const others = this.membership.members.others();
    const query = { atLeast: 0, waitMs: 0, entries: [] };
    const answers = await Promise.all(others.map((member) => this.peers.revision(member.address, query)));
    const votes = answers.flatMap((answer, index) =>
      answer.isOk() && answer.value.voter ? [{ member: others[index] as MemberRecord, ...answer.value }] : [],
    );
    const own = this.isVoter ? 1 : 0;
    const electorate = Math.max(this.membership.electorateSize(), ...votes.map((vote) => vote.electorate));
    if (votes.length + own <= electorate / 2) return false;
    const newest = votes.reduce(
      (a, b) => (b.revision > a.revision ? b : a),
      votes[0] ?? { revision: 0, member: undefined },
    );
    if (newest.member && newest.revision > this.view.revision) await this.pullFrom(newest.member, 0);
    if (this.view.revision < newest.revision) return false;
    this.confirm(askedAt);
    return true;
  }

  private confirm(atMs: number): void {
    this.hasLoaded = true;
    this.lease.confirm(atMs);
  }

  private snapshot() {
    return this.view.all().map((one) => ({ kind: one.kind, name: one.metadata.name, resource: one }));
  }

  private async countOutcome(operation: string, call: () => Promise<boolean>): Promise<boolean> {
    const succeeded = await call();
    this.observer.metrics.peerCalls.inc({ operation, outcome: succeeded ? 'ok' : 'failed' });
    return succeeded;
  }
}
