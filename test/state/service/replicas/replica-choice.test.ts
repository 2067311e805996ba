/** Tests of load balancing over replicas of different speeds and loads. */
import { expect } from 'chai';
import { sleep } from '../../../../src/common/clock.js';
import { Random } from '../../../../src/common/random.js';
import {
  capacityOf,
  chooseReplica,
  drainRate,
  type ReplicaChoiceInput,
} from '../../../../src/state/service/replicas/replica-choice.js';
import { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { replicaWith } from '../../../support/replicas.js';

const SLOTS = 6;
const AVERAGE_MS = 40;
const SEEDS = 200;

const input: ReplicaChoiceInput = {
  slotsOf: ({ replica }) => replica.slots,
  zonePenalty: () => 0,
  serviceTimeMs: AVERAGE_MS,
  queuedAheadMs: 0,
};

function replicas(times: readonly number[]): ReplicaState[] {
  return times.map((timeMs, index) => {
    const state = new ReplicaState(replicaWith({ id: `r${index}`, slots: SLOTS }));
    for (let count = 0; count < 60; count += 1) state.recordLatencyRatio(timeMs / AVERAGE_MS);
    return state;
  });
}

const counts = (states: readonly ReplicaState[]) => states.map(({ inFlight }) => inFlight);

describe('chooseReplica', () => {
  it('distributes requests evenly over equal replicas', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS, AVERAGE_MS, AVERAGE_MS]);
    for (let count = 0; count < 12; count += 1) {
      const choice = chooseReplica(states, input);
      if (choice.kind === 'send') choice.state.recordAttemptStart();
    }
    expect(counts(states)).to.deep.equal([3, 3, 3, 3]);
  });

  it('alternates between equal replicas under low load', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS, AVERAGE_MS]);
    const assigned = new Map<string, number>();
    for (let count = 0; count < 300; count += 1) {
      const choice = chooseReplica(states, input);
      if (choice.kind !== 'send') throw new Error('expected a free slot');
      choice.state.recordAttemptStart();
      choice.state.recordAttemptEnd(true);
      assigned.set(choice.state.id, (assigned.get(choice.state.id) ?? 0) + 1);
    }
    expect(Math.max(...assigned.values())).to.be.at.most(120);
  });

  it('leaves no free slot idle while a request waits, under random speeds and loads', () => {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = new Random(seed);
      const times = Array.from(
        { length: 1 + random.integer(8) },
        () => AVERAGE_MS * (1 + random.integer(10) / 10),
      );
      const states = replicas(times);
      for (const state of states)
        for (let count = random.integer(SLOTS + 1); count > 0; count -= 1) state.recordAttemptStart();
      const { free } = capacityOf(states, input);
      const choice = chooseReplica(states, input);
      expect(choice.kind, `seed ${seed}`).to.equal(free > 0 ? 'send' : 'wait');
      if (choice.kind === 'send') expect(choice.state.inFlight).to.be.lessThan(SLOTS);
    }
  });

  it('waits for a fast replica rather than use one that would finish the request later', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS * 8]);
    const [fast] = states as [ReplicaState];
    for (let count = 0; count < SLOTS; count += 1) fast.recordAttemptStart();
    expect(chooseReplica(states, input).kind).to.equal('wait');
    expect(
      chooseReplica(states, { ...input, queuedAheadMs: 60 * AVERAGE_MS }).kind,
      'many requests are queued ahead',
    ).to.equal('send');
  });

  it('prefers a fast replica to slow ones and weighs the drain rate by speed', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS * 5, AVERAGE_MS * 5, AVERAGE_MS * 5]);
    const choice = chooseReplica(states, input);
    expect(choice.kind === 'send' && choice.state.id).to.equal('r0');
    expect(drainRate(states, input)).to.be.closeTo(SLOTS * 1.6, 0.3);
  });

  it('treats a replica as slow while it stalls, unless its request is expected to take long', async () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS]);
    const [stalled, longRunning] = states as [ReplicaState, ReplicaState];
    stalled.recordAttemptStart(5);
    longRunning.recordAttemptStart(500);
    await sleep(60);
    expect(stalled.latencyRatio).to.be.greaterThan(8);
    expect(longRunning.latencyRatio).to.be.lessThan(1.5);
    stalled.recordAttemptEnd(true);
    expect(stalled.latencyRatio).to.be.lessThan(1.5);
  });

  it('avoids replicas that back off, and ejected ones unless there is no other', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS]);
    const [full, failing] = states as [ReplicaState, ReplicaState];
    full.backOff(10_000);
    failing.recordFailure();
    expect(chooseReplica(states, input).kind, 'waits for the replica that backs off').to.equal('wait');
    expect(chooseReplica([failing], input).kind).to.equal('send');
    expect(chooseReplica([], input).kind).to.equal('none');
  });

  it('takes the reported load and latency of a replica into account', () => {
    const states = replicas([AVERAGE_MS, AVERAGE_MS]);
    const [loaded, slowed] = states as [ReplicaState, ReplicaState];
    loaded.recordLoad({ running: SLOTS, waiting: 2, slots: SLOTS, serviceTimePercent: undefined });
    expect(loaded.occupied).to.equal(SLOTS + 2);
    const choice = chooseReplica(states, input);
    expect(choice.kind === 'send' && choice.state).to.equal(slowed);
    slowed.recordLoad({ running: 0, waiting: 0, slots: SLOTS, serviceTimePercent: 300 });
    expect(slowed.latencyRatio).to.be.closeTo(3, 0.3);
  });
});
