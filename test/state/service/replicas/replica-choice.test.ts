/** Replica choice under drawn loads: none idles while a request waits, equal ones are used alike, slow ones less. */
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
const USUAL_MS = 40;
const SEEDS = 200;

const input: ReplicaChoiceInput = {
  slotsOf: ({ replica }) => replica.slots,
  zonePenalty: () => 0,
  serviceTimeMs: USUAL_MS,
  queuedAheadMs: 0,
};

function replicas(times: readonly number[]): ReplicaState[] {
  return times.map((timeMs, index) => {
    const state = new ReplicaState(replicaWith({ id: `r${index}`, slots: SLOTS }));
    for (let count = 0; count < 60; count += 1) state.recordLatencyRatio(timeMs / USUAL_MS);
    return state;
  });
}

const counts = (states: readonly ReplicaState[]) => states.map(({ inFlight }) => inFlight);

describe('the choice of a replica', () => {
  it('fills equal ones evenly', () => {
    const states = replicas([USUAL_MS, USUAL_MS, USUAL_MS, USUAL_MS]);
    for (let count = 0; count < 12; count += 1) {
      const choice = chooseReplica(states, input);
      if (choice.kind === 'send') choice.state.recordAttemptStart();
    }
    expect(counts(states)).to.deep.equal([3, 3, 3, 3]);
  });

  it('alternates between equal ones under low load: the busiest has 1.2 times the mean at most', () => {
    const states = replicas([USUAL_MS, USUAL_MS, USUAL_MS]);
    const given = new Map<string, number>();
    for (let count = 0; count < 300; count += 1) {
      const choice = chooseReplica(states, input);
      if (choice.kind !== 'send') throw new Error('a slot is free');
      choice.state.recordAttemptStart();
      choice.state.recordAttemptEnd(true);
      given.set(choice.state.id, (given.get(choice.state.id) ?? 0) + 1);
    }
    expect(Math.max(...given.values())).to.be.at.most(120);
  });

  it('leaves no free slot idle while a request waits, under drawn speeds and loads', () => {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = new Random(seed);
      const times = Array.from(
        { length: 1 + random.integer(8) },
        () => USUAL_MS * (1 + random.integer(10) / 10),
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

  it('waits for a fast one rather than use one at which the request ends later', () => {
    const states = replicas([USUAL_MS, USUAL_MS * 8]);
    const [fast] = states as [ReplicaState];
    for (let count = 0; count < SLOTS; count += 1) fast.recordAttemptStart();
    expect(chooseReplica(states, input).kind).to.equal('wait');
    expect(
      chooseReplica(states, { ...input, queuedAheadMs: 60 * USUAL_MS }).kind,
      'many are queued ahead',
    ).to.equal('send');
  });

  it('uses the fast one before three slow ones, and counts each by its speed', () => {
    const states = replicas([USUAL_MS, USUAL_MS * 5, USUAL_MS * 5, USUAL_MS * 5]);
    const choice = chooseReplica(states, input);
    expect(choice.kind === 'send' && choice.state.id).to.equal('r0');
    expect(drainRate(states, input)).to.be.closeTo(SLOTS * 1.6, 0.3);
  });

  it('takes silence for slowness, but not where the request is expected to take long', async () => {
    const states = replicas([USUAL_MS, USUAL_MS]);
    const [silent, patient] = states as [ReplicaState, ReplicaState];
    silent.recordAttemptStart(5);
    patient.recordAttemptStart(500);
    await sleep(60);
    expect(silent.latencyRatio).to.be.greaterThan(8);
    expect(patient.latencyRatio).to.be.lessThan(1.5);
    silent.recordAttemptEnd(true);
    expect(silent.latencyRatio).to.be.lessThan(1.5);
  });

  it('does not use one that backs off, nor an ejected one unless there is no other', () => {
    const states = replicas([USUAL_MS, USUAL_MS]);
    const [full, failing] = states as [ReplicaState, ReplicaState];
    full.backOff(10_000);
    failing.recordFailure();
    expect(chooseReplica(states, input).kind, 'one that backs off is waited for').to.equal('wait');
    expect(chooseReplica([failing], input).kind).to.equal('send');
    expect(chooseReplica([], input).kind).to.equal('none');
  });

  it('counts the load and the pace that a replica reports', () => {
    const states = replicas([USUAL_MS, USUAL_MS]);
    const [loaded, paced] = states as [ReplicaState, ReplicaState];
    loaded.recordLoad({ running: SLOTS, waiting: 2, slots: SLOTS, serviceTimePercent: undefined });
    expect(loaded.occupied).to.equal(SLOTS + 2);
    const choice = chooseReplica(states, input);
    expect(choice.kind === 'send' && choice.state).to.equal(paced);
    paced.recordLoad({ running: 0, waiting: 0, slots: SLOTS, serviceTimePercent: 300 });
    expect(paced.latencyRatio).to.be.closeTo(3, 0.3);
  });
});
