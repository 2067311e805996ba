/**
 * Forwards calls about jobs from a node that the store rejects to peers that it may serve.
 *
 * Relies on the addresses of peers, ranked by their last answers. Where no peer carries the call out, the
 * caller gets the joined outcomes: a submission is `not-accepted` only if every node says so.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { JobCaller, JobPeer } from '../../../protocol/service/job-calls.js';
import type { PeerAddresses } from '../membership/index.js';

/** Most peers asked for one call. Chosen, not measured: bounds what an outage adds to their load. */
const MAX_PEERS = 4;
/** Time after which the next peer is asked beside a silent one, ms. Chosen, not measured. */
const NEXT_PEER_DELAY_MS = 250;
/** Interval of checks whether the store still answers, ms. Chosen, not measured. */
const STORE_CHECK_INTERVAL_MS = 100;

/** Dependencies of forwarding. */
export interface ForwardingServices {
  readonly peer: JobPeer;
  readonly peers: PeerAddresses;
  readonly isStoreAnswering: () => boolean;
  readonly logger: DecisionLogger;
}

/** A call, as this node and as a peer carries it out. */
export interface ForwardedCall<Outcome> {
  readonly name: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  readonly caller: Pick<JobCaller, 'isForwarded'>;
  readonly runLocally: () => Promise<Outcome>;
  readonly runAtPeer: (peer: JobPeer, address: string) => Promise<Outcome>;
  /** Whether no other node could give a better outcome. */
  readonly isFinal: (outcome: Outcome) => boolean;
  /** Joins the outcomes of this node and of peers, none of them final. */
  readonly mergeOutcomes: (outcomes: readonly Outcome[]) => Outcome;
}

/** Carries calls out here while the store answers, and at peers when it does not. */
export class JobForwarding {
  constructor(private readonly services: ForwardingServices) {}

  /**
   * Tries here first; peers are asked when the store does not answer or stops answering meanwhile. What was
   * begun here is awaited before any outcome is returned that is not final.
   */
  async run<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome> {
    const here = call.runLocally();
    if (call.caller.isForwarded) return here;
    const first = await this.raceStoreOutage(here);
    if (first !== undefined && (call.isFinal(first) || this.services.isStoreAnswering())) return first;
    const outcomes = await this.callPeers(call);
    const final = outcomes.find(call.isFinal);
    if (final !== undefined) return final;
    const own = await here;
    return call.isFinal(own) ? own : call.mergeOutcomes([own, ...outcomes]);
  }

  /** The outcome, or `undefined` as soon as the store does not answer. */
  private async raceStoreOutage<Outcome>(here: Promise<Outcome>): Promise<Outcome | undefined> {
    const controller = new AbortController();
    const unreachable = async () => {
      while (!controller.signal.aborted && this.services.isStoreAnswering())
        await sleep(STORE_CHECK_INTERVAL_MS, controller.signal);
      return undefined;
    };
    const first = await Promise.race([here, unreachable()]);
    controller.abort();
    return first;
  }

  /** Asks one peer after the other until one gives a final outcome; the outcomes so far. */
  private async callPeers<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    let finish = () => {};
    const isDone = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const asked: Promise<void>[] = [];
    for (const address of this.services.peers.rankedAddresses(MAX_PEERS)) {
      const callPeer = async () => {
        const outcome = await this.ask(call, address);
        outcomes.push(outcome);
        if (call.isFinal(outcome)) finish();
      };
      asked.push(callPeer());
      await Promise.race([isDone, Promise.all(asked), sleep(NEXT_PEER_DELAY_MS)]);
      if (outcomes.some(call.isFinal)) return outcomes;
    }
    await Promise.race([isDone, Promise.all(asked)]);
    return outcomes;
  }

  private async ask<Outcome>(call: ForwardedCall<Outcome>, address: string): Promise<Outcome> {
    const startedAt = monotonicMs();
    const outcome = await call.runAtPeer(this.services.peer, address);
    this.services.peers.recordOutcome(address, call.isFinal(outcome));
    this.services.logger.record({
      event: 'job-call-passed-on',
      call: call.name,
      jobId: call.jobId,
      peer: address,
      outcome: call.isFinal(outcome) ? 'answered' : 'not served',
      tookMs: Math.round(monotonicMs() - startedAt),
    });
    return outcome;
  }
}
