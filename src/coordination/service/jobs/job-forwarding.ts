/**
 * Forwards calls about jobs to peers while the store rejects this node, since it may serve those. If no peer
 * completes the call, the outcomes are merged: a submission is `not-accepted` only if every node says so.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { JobCaller, JobPeer } from '../../../protocol/service/job-calls.js';
import type { PeerAddresses } from '../membership/index.js';

/** Bounds the load that forwarding adds during an outage of the store. */
const MAX_PEERS = 4;
/** Time without an answer after which the next peer is called in parallel. */
const NEXT_PEER_DELAY_MS = 250;
const STORE_CHECK_INTERVAL_MS = 100;

export interface ForwardingServices {
  readonly peer: JobPeer;
  readonly peers: PeerAddresses;
  readonly isStoreAnswering: () => boolean;
  readonly logger: DecisionLogger;
}

/** A call that this node or a peer can execute. */
export interface ForwardedCall<Outcome> {
  readonly name: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  readonly caller: Pick<JobCaller, 'isForwarded'>;
  readonly runLocally: () => Promise<Outcome>;
  readonly runAtPeer: (peer: JobPeer, address: string) => Promise<Outcome>;
  /** Whether no other node could return a better outcome. */
  readonly isFinal: (outcome: Outcome) => boolean;
  /** Merges the outcomes of this node and of peers when none of them is final. */
  readonly mergeOutcomes: (outcomes: readonly Outcome[]) => Outcome;
}

/** Executes calls locally while the store answers, and at peers when it does not. */
export class JobForwarding {
  constructor(private readonly services: ForwardingServices) {}

  /**
   * Executes the call locally, and also at peers if the store does not answer or stops answering. The local
   * execution is awaited before an outcome that is not final is returned.
   */
  async run<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome> {
    const local = call.runLocally();
    if (call.caller.isForwarded) return local;
    const first = await this.raceStoreOutage(local);
    if (first !== undefined && (call.isFinal(first) || this.services.isStoreAnswering())) return first;
    const outcomes = await this.callPeers(call);
    const final = outcomes.find(call.isFinal);
    if (final !== undefined) return final;
    const localOutcome = await local;
    return call.isFinal(localOutcome) ? localOutcome : call.mergeOutcomes([localOutcome, ...outcomes]);
  }

  /** Resolves to the outcome, or to `undefined` as soon as the store does not answer. */
  private async raceStoreOutage<Outcome>(local: Promise<Outcome>): Promise<Outcome | undefined> {
    const controller = new AbortController();
    const storeOutage = async () => {
      while (!controller.signal.aborted && this.services.isStoreAnswering())
        await sleep(STORE_CHECK_INTERVAL_MS, controller.signal);
      return undefined;
    };
    const first = await Promise.race([local, storeOutage()]);
    controller.abort();
    return first;
  }

  /** Calls peers one after the other until one returns a final outcome. Resolves to the outcomes received. */
  private async callPeers<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    let finish = () => {};
    const done = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const calls: Promise<void>[] = [];
    for (const address of this.services.peers.rankedAddresses(MAX_PEERS)) {
      const tryPeer = async () => {
        const outcome = await this.callPeer(call, address);
        outcomes.push(outcome);
        if (call.isFinal(outcome)) finish();
      };
      calls.push(tryPeer());
      await Promise.race([done, Promise.all(calls), sleep(NEXT_PEER_DELAY_MS)]);
      if (outcomes.some(call.isFinal)) return outcomes;
    }
    await Promise.race([done, Promise.all(calls)]);
    return outcomes;
  }

  private async callPeer<Outcome>(call: ForwardedCall<Outcome>, address: string): Promise<Outcome> {
    const startedAtMs = monotonicMs();
    const outcome = await call.runAtPeer(this.services.peer, address);
    this.services.peers.recordOutcome(address, call.isFinal(outcome));
    this.services.logger.record({
      event: 'job-call-passed-on',
      call: call.name,
      jobId: call.jobId,
      peer: address,
      outcome: call.isFinal(outcome) ? 'answered' : 'not served',
      tookMs: Math.round(monotonicMs() - startedAtMs),
    });
    return outcome;
  }
}
