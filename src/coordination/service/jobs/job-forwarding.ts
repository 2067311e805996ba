/** Passes calls about jobs on from a node that the store does not serve to others that it may serve. */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { JobPeer } from '../../../protocol/service/job-calls.js';
import type { PeerAddresses } from '../membership/index.js';

/** Nodes that are asked for one call at most. */
const MAX_PEERS = 4;
/** Time after which the next node is asked while the one before has not answered, milliseconds. */
const PATIENCE_MS = 250;
/** How often a call that waits for the store looks whether it is still in reach, milliseconds. */
const WATCH_MS = 100;

/** What forwarding works with. */
export interface ForwardingServices {
  readonly peer: JobPeer;
  readonly peers: PeerAddresses;
  readonly isStoreAnswering: () => boolean;
  readonly logger: DecisionLogger;
}

/** A call as this node and as another one can carry it out. */
export interface ForwardedCall<Outcome> {
  readonly name: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  /** Whether another node passes the call on: then it is carried out here or not at all. */
  readonly isForwarded: boolean;
  readonly here: () => Promise<Outcome>;
  readonly there: (peer: JobPeer, address: string) => Promise<Outcome>;
  /** Whether nothing better can be had of another node. */
  readonly isFinal: (outcome: Outcome) => boolean;
  /** Joins the outcomes of this node and of others, none of them final. */
  readonly join: (outcomes: readonly Outcome[]) => Outcome;
}

/** Carries calls out here while the store is in reach, and at other nodes when it is not. */
export class JobForwarding {
  constructor(private readonly services: ForwardingServices) {}

  /**
   * Tries here first; other nodes are asked when the store is or falls out of reach meanwhile. What was begun here is waited
   * for before the answer says anything that is not final.
   */
  async run<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome> {
    const here = call.here();
    if (call.isForwarded) return here;
    const first = await this.untilOutOfReach(here);
    if (first !== undefined && (call.isFinal(first) || this.services.isStoreAnswering())) return first;
    const outcomes = await this.askPeers(call);
    const final = outcomes.find(call.isFinal);
    if (final !== undefined) return final;
    const own = await here;
    return call.isFinal(own) ? own : call.join([own, ...outcomes]);
  }

  /** The outcome, or `undefined` as soon as the store is out of reach. */
  private async untilOutOfReach<Outcome>(here: Promise<Outcome>): Promise<Outcome | undefined> {
    const controller = new AbortController();
    const outOfReach = async () => {
      while (!controller.signal.aborted && this.services.isStoreAnswering())
        await sleep(WATCH_MS, controller.signal);
      return undefined;
    };
    const first = await Promise.race([here, outOfReach()]);
    controller.abort();
    return first;
  }

  /** Asks one node after the other until one carries the call out; the outcomes so far. */
  private async askPeers<Outcome>(call: ForwardedCall<Outcome>): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    let done = () => {};
    const isDone = new Promise<void>((resolve) => {
      done = resolve;
    });
    const asked: Promise<void>[] = [];
    for (const address of this.services.peers.likeliest(MAX_PEERS)) {
      const ask = async () => {
        const outcome = await this.ask(call, address);
        outcomes.push(outcome);
        if (call.isFinal(outcome)) done();
      };
      asked.push(ask());
      await Promise.race([isDone, Promise.all(asked), sleep(PATIENCE_MS)]);
      if (outcomes.some(call.isFinal)) return outcomes;
    }
    await Promise.race([isDone, Promise.all(asked)]);
    return outcomes;
  }

  private async ask<Outcome>(call: ForwardedCall<Outcome>, address: string): Promise<Outcome> {
    const startedAt = monotonicMs();
    const outcome = await call.there(this.services.peer, address);
    this.services.peers.note(address, call.isFinal(outcome));
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
