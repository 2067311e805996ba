/** Placement of requests: probing of replicas that declined, cost by speed and load, targets of moves. */
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'chai';
import { Placement } from '../../../../src/coordination/service/generation/placement.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import type { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { replicaWith } from '../../../support/replicas.js';
import { until } from '../../../support/wait.js';

const SLOTS = 8;
const PAUSE_MS = 30;
const LONG_PAUSE_MS = 60_000;

const REPLICA = replicaWith({ slots: SLOTS, modelVersions: new Map([['m', 1]]) });

describe('placement', () => {
  let directory: ReplicaDirectory;
  let placement: Placement;
  let placed: ReplicaState[];
  let controller: AbortController;

  beforeEach(() => {
    directory = new ReplicaDirectory();
    directory.set(REPLICA);
    placement = new Placement(directory, 'z');
    placed = [];
    controller = new AbortController();
  });

  afterEach(() => controller.abort());

  function wait(
    count: number,
    expectedEvents = 0,
    preferredId?: string,
    onPlaced?: (state: ReplicaState) => void,
  ): void {
    for (let index = 0; index < count; index += 1)
      void placement
        .acquire({
          service: () => 's',
          slots: () => SLOTS,
          accepts: () => true,
          preferred: () => (preferredId === undefined ? undefined : directory.get(preferredId)),
          expectedEvents,
          priority: 1,
          signal: controller.signal,
        })
        .then((state) => {
          if (!state) return;
          placed.push(state);
          onPlaced?.(state);
        });
  }

  /** Lets the placement reschedule the waiting requests several times. */
  async function reschedule(): Promise<void> {
    for (let index = 0; index < 5; index += 1) {
      directory.set(REPLICA);
      await turn();
    }
  }

  /** One request was sent and declined; the pause after it is over once another is sent. */
  async function declineFirst(): Promise<ReplicaState> {
    wait(1);
    await until('the first is sent', () => placed.length === 1);
    const [state] = placed as [ReplicaState];
    placement.release(state, false);
    state.backOff(PAUSE_MS);
    placed = [];
    return state;
  }

  it('sends one request after a decline, and all others once that one is accepted', async () => {
    const state = await declineFirst();
    wait(5);
    await until('one is sent', () => placed.length === 1);
    await reschedule();
    expect(placed).to.have.length(1);
    placement.markAccepted(state);
    await until('more are sent', () => placed.length > 1);
    for (let sent = 2; sent <= 5; sent += 1) placement.markAccepted(state);
    await until('all are sent', () => placed.length === 5);
    expect(state.inFlight).to.equal(5);
  });

  it('sends few requests before the replica has accepted one, and none to one that declines them', async () => {
    const state = directory.get(REPLICA.id) as ReplicaState;
    wait(SLOTS);
    await reschedule();
    expect(placed).to.have.length(3);
    placement.markAccepted(state);
    await reschedule();
    expect(placed).to.have.length(4);
    placement.release(state, false);
    state.backOff(LONG_PAUSE_MS);
    await reschedule();
    expect(placed).to.have.length(4);
  });

  it('sends the next one when the first one ended without an answer', async () => {
    const state = await declineFirst();
    wait(2);
    await until('one is sent', () => placed.length === 1);
    placement.release(state, false);
    await until('the other is sent', () => placed.length === 2);
  });

  it('sends all at once when the replica has a new version, because its load is over', async () => {
    const state = await declineFirst();
    wait(3);
    await until('one is sent', () => placed.length === 1);
    placement.release(state, false);
    state.backOff(LONG_PAUSE_MS);
    await reschedule();
    expect(placed).to.have.length(1);
    directory.set({ ...REPLICA, modelVersions: new Map([['m', 2]]) });
    await turn();
    await turn();
    expect(placed).to.have.length(3);
  });

  it('probes a replica that declined only when the others are full', async () => {
    directory.set({ ...REPLICA, id: 'r2' });
    const other = directory.get('r2') as ReplicaState;
    const declined = directory.get('r1') as ReplicaState;
    other.inFlight = SLOTS - 1;
    declined.backOff(1);
    await until('its pause is over', () => !declined.isUnhealthy);
    wait(1);
    await until('one is sent', () => placed.length === 1);
    expect(placed[0]).to.equal(other);
    wait(1);
    await until('the next one is sent', () => placed.length === 2);
    expect(placed[1]).to.equal(declined);
  });

  describe('on replicas of different speed', () => {
    const EVENT_MS = 40;
    const SLOW_EVENT_MS = 60;

    const take = (state: ReplicaState) => placement.markAccepted(state);

    function add(id: string, eventMs: number): ReplicaState {
      directory.set({ ...REPLICA, id });
      const state = directory.get(id) as ReplicaState;
      state.recordEventInterval(eventMs);
      return state;
    }

    it('sends long requests to the fastest, however much it runs', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      wait(SLOTS + 2, 100, undefined, take);
      await until('all are sent', () => placed.length === SLOTS + 2);
      expect([fast.inFlight, slow.inFlight]).to.deep.equal([SLOTS, 2]);
    });

    it('spreads short requests by load', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      wait(SLOTS, 5, undefined, take);
      await until('all are sent', () => placed.length === SLOTS);
      expect([fast.inFlight, slow.inFlight]).to.deep.equal([SLOTS / 2, SLOTS / 2]);
    });

    it('leaves the replica of the group when it has become slow', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      wait(1, 100, slow.id);
      await until('it is sent', () => placed.length === 1);
      expect(placed[0]).to.equal(fast);
    });

    it('names the fastest replica for a move, one with a free slot first', () => {
      directory.remove(REPLICA.id);
      add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      const query = { service: 's', slots: () => SLOTS, accepts: () => true };
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: EVENT_MS, hasFreeSlot: true });
      fast.inFlight = SLOTS;
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: SLOW_EVENT_MS, hasFreeSlot: true });
      wait(1);
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: EVENT_MS, hasFreeSlot: false });
    });
  });
});
