/**
 * Membership. Each round a node probes a few members in turn; rumours ride on the probes. A member that does not
 * answer is probed through others, then suspected, then declared dead. There is no full mesh: the cost of a
 * round does not grow with the number of members.
 */
import { monotonicMs, sleep } from '../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../common/lifecycle.js';
import type { Random } from '../common/random.js';
import type { MemberRecord, PeerClient, Probe } from '../protocol/peer.js';
import { MemberTable } from '../state/member-table.js';

/** Times and numbers of the probing. */
export interface MembershipOptions {
  /** Time between two rounds, milliseconds. */
  readonly probeIntervalMs: number;
  /** Members probed in one round. */
  readonly probesPerRound: number;
  /** Members asked to probe another one. */
  readonly indirectProbes: number;
  /** How long a member is suspected before it is declared dead, milliseconds. */
  readonly suspicionMs: number;
  /** Addresses of nodes to join through. */
  readonly seeds: readonly string[];
}

type PeerState = 'alive' | 'suspect' | 'dead' | 'left';
type PeerEvent = 'becameAlive' | 'becameSuspect' | 'becameDead' | 'becameLeft';

const PEER_TABLE = {
  alive: { becameSuspect: 'suspect', becameDead: 'dead', becameLeft: 'left' },
  suspect: { becameAlive: 'alive', becameDead: 'dead', becameLeft: 'left' },
  dead: { becameAlive: 'alive', becameLeft: 'left' },
  left: { becameAlive: 'alive' },
} as const;

const EVENT_OF_STATE: Readonly<Record<PeerState, PeerEvent>> = {
  alive: 'becameAlive',
  suspect: 'becameSuspect',
  dead: 'becameDead',
  left: 'becameLeft',
};

/** Rounds after which all records are exchanged with one member if the last one held others than this node. */
const FULL_EXCHANGE_ROUNDS = 5;

/** One node's part in the membership. */
export class Membership {
  readonly members: MemberTable;
  private readonly lifecycles = new Map<string, Lifecycle<PeerState, PeerEvent>>();
  private readonly suspectedSinceMs = new Map<string, number>();
  private readonly joinedSeeds = new Set<string>();
  /** Members that have answered a probe of this node, and so know it; whether they are established themselves. */
  private readonly heardBy = new Map<string, boolean>();
  private established = false;
  private queue: string[] = [];
  private round = 0;

  constructor(
    own: MemberRecord,
    private readonly options: MembershipOptions,
    private readonly peers: PeerClient,
    private readonly random: Random,
    private readonly observer: LifecycleObserver,
    private readonly revision: () => number,
  ) {
    this.members = new MemberTable(own, (record, before) => this.noteChange(record, before));
  }

  /** Probes until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runRound();
      this.observer.metrics.membersAlive.set(this.members.active().length);
      await sleep(this.options.probeIntervalMs, signal);
    }
  }

  /** Answers a probe. */
  answerProbe(probe: Probe): Probe {
    this.members.merge(probe.from);
    for (const record of probe.rumours) this.members.merge(record);
    this.members.noteDigest(probe.digest);
    return this.message(probe.full === true);
  }

  /** Probes an address on behalf of another member. */
  async probeFor(address: string): Promise<boolean> {
    return (await this.probe(address, false)).isOk();
  }

  /** Seeds that have never answered; they count for a majority, since nothing is known of them. */
  private unseenSeeds(): number {
    const known = new Set(this.members.everyone().map((record) => record.address));
    return this.options.seeds.filter((seed) => !known.has(seed)).length;
  }

  /**
   * Members whose vote makes a majority: those that this node knows, and the seeds of which it knows nothing.
   */
  electorateSize(): number {
    return this.members.electorate().length + this.unseenSeeds();
  }

  /**
   * Whether a majority of the established members has heard of this node since it started, so that whoever counts a
   * majority meets a member that counts this node too. A newcomer has no vote before; newcomers do not establish each
   * other, unless all members are newcomers.
   */
  get isEstablished(): boolean {
    return this.established;
  }

  /** Looked at once a round: it walks all members. */
  private updateEstablished(): void {
    if (this.established) return;
    const others = this.members.electorate().filter((record) => record.id !== this.members.own.id);
    const older = others.filter((record) => this.heardBy.get(record.id) !== false);
    const heard = older.filter((record) => this.heardBy.get(record.id) === true).length;
    const olderCount = older.length + this.unseenSeeds();
    this.established = olderCount === 0 || heard > olderCount / 2;
  }

  /** Tells some members that this node leaves. */
  async announceLeaving(): Promise<void> {
    this.members.announceOwn('left');
    const told = this.random.sample(this.members.others(), 2 * this.options.probesPerRound + 1);
    await Promise.all(told.map((member) => this.probe(member.address, false)));
  }

  private async runRound(): Promise<void> {
    this.round += 1;
    await this.joinSeeds();
    const targets = this.nextTargets();
    const full = this.round % FULL_EXCHANGE_ROUNDS === 0 && this.members.hasDisagreement;
    await Promise.all(targets.map((target, index) => this.checkMember(target, full && index === 0)));
    this.declareDead();
    this.updateEstablished();
  }

  private async joinSeeds(): Promise<void> {
    const known = new Set(this.members.active().map((record) => record.address));
    const missing = this.options.seeds.filter(
      (seed) => !known.has(seed) && seed !== this.members.own.address,
    );
    const isFirst = this.round === 1;
    const tried = isFirst ? missing : this.random.sample(missing, 1);
    await Promise.all(tried.map((seed) => this.joinThrough(seed)));
  }

  /** The first answer of a seed brings all records. */
  private async joinThrough(seed: string): Promise<void> {
    const answer = await this.probe(seed, !this.joinedSeeds.has(seed));
    if (answer.isOk()) this.joinedSeeds.add(seed);
  }

  /** The next members in a shuffled order, so that each one is probed within a bounded time. */
  private nextTargets(): MemberRecord[] {
    const targets: MemberRecord[] = [];
    while (targets.length < this.options.probesPerRound) {
      if (this.queue.length === 0) {
        if (targets.length > 0) break;
        const ids = this.members.others().map((member) => member.id);
        this.queue = this.random.sample(ids, ids.length);
        if (this.queue.length === 0) break;
      }
      const member = this.members.get(this.queue.pop() as string);
      if (member && (member.state === 'alive' || member.state === 'suspect')) targets.push(member);
    }
    return targets;
  }

  private async checkMember(target: MemberRecord, full: boolean): Promise<void> {
    const direct = await this.probe(target.address, full);
    if (direct.isOk()) return;
    const helpers = this.random.sample(
      this.members.others().filter((member) => member.id !== target.id),
      this.options.indirectProbes,
    );
    const answers = await Promise.all(
      helpers.map((helper) => this.peers.probeIndirectly(helper.address, target.address)),
    );
    if (answers.some((answer) => answer.isOk() && answer.value.alive)) return;
    const current = this.members.get(target.id);
    if (current?.state === 'alive') this.members.merge({ ...current, state: 'suspect' });
  }

  private async probe(address: string, full: boolean) {
    const answer = await this.peers.probe(address, this.message(false, full));
    this.observer.metrics.peerCalls.inc({ operation: 'probe', outcome: answer.isOk() ? 'ok' : 'failed' });
    if (answer.isOk()) {
      // The answer itself is newer than any suspicion of the same incarnation.
      this.noteAnswer(answer.value);
      for (const record of answer.value.rumours) this.members.merge(record);
      this.members.noteDigest(answer.value.digest);
    }
    return answer;
  }

  private noteAnswer({ from: record, established }: Probe): void {
    this.heardBy.set(record.id, established);
    this.members.merge(record);
    if (record.state === 'alive') this.suspectedSinceMs.delete(record.id);
  }

  private message(allRecords: boolean, askForAll = false): Probe {
    const rumours = allRecords ? [...this.members.everyone()] : this.members.takeRumours();
    const message = {
      from: this.members.own,
      rumours,
      revision: this.revision(),
      digest: this.members.digest(),
      established: this.isEstablished,
    };
    return askForAll ? { ...message, full: true } : message;
  }

  private declareDead(): void {
    const now = monotonicMs();
    for (const member of this.members.others()) {
      if (member.state !== 'suspect') {
        this.suspectedSinceMs.delete(member.id);
        continue;
      }
      const since = this.suspectedSinceMs.get(member.id) ?? now;
      this.suspectedSinceMs.set(member.id, since);
      if (now - since > this.options.suspicionMs) this.members.merge({ ...member, state: 'dead' });
    }
  }

  private noteChange(record: MemberRecord, before: MemberRecord | undefined): void {
    const known = this.lifecycles.get(record.id);
    if (!known) {
      const initial = before?.state ?? record.state;
      const lifecycle = new Lifecycle<PeerState, PeerEvent>(
        'peer',
        record.id,
        initial,
        PEER_TABLE,
        this.observer,
      );
      this.lifecycles.set(record.id, lifecycle);
      this.observer.logger.info(`peer ${record.state}`, { subject: record.id, address: record.address });
      return;
    }
    known.sendIfTaken(EVENT_OF_STATE[record.state], `incarnation ${record.incarnation}`);
  }
}
