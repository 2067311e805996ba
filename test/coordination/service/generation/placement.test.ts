/**
 * Placement of generation requests: probing of replicas that declined, cost by speed and load, move targets.
 */
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'chai';
import { Placement } from '../../../../src/coordination/service/generation/placement.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import type { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { replicaWith } from '../../../support/replicas.js';
import { until } from '../../../support/wait.js';

const SLOTS = 8;
const BACKOFF_MS = 30;
const LONG_BACKOFF_MS = 60_000;

const REPLICA = replicaWith({ slots: SLOTS, modelVersions: new Map([['m', 1]]) });

describe('Placement', () => {
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

  function enqueue(
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

  /** Lets the replica decline one request; its backoff is over once another request is sent. */
  async function declineFirst(): Promise<ReplicaState> {
    enqueue(1);
    await until('the first request is sent', () => placed.length === 1);
    const [state] = placed as [ReplicaState];
    placement.release(state, false);
    state.backOff(BACKOFF_MS);
    placed = [];
    return state;
  }

  it('sends one request after a decline, and all others once that one is accepted', async () => {
    const state = await declineFirst();
    enqueue(5);
    await until('one request is sent', () => placed.length === 1);
    await reschedule();
    expect(placed).to.have.length(1);
    placement.markAccepted(state);
    await until('more requests are sent', () => placed.length > 1);
    for (let sent = 2; sent <= 5; sent += 1) placement.markAccepted(state);
    await until('all requests are sent', () => placed.length === 5);
    expect(state.inFlight).to.equal(5);
  });

  it('limits the requests to a replica that has not accepted one yet, and sends none after it declines', async () => {
    const state = directory.get(REPLICA.id) as ReplicaState;
    enqueue(SLOTS);
    await reschedule();
    expect(placed).to.have.length(3);
    placement.markAccepted(state);
    await reschedule();
    expect(placed).to.have.length(4);
    placement.release(state, false);
    state.backOff(LONG_BACKOFF_MS);
    await reschedule();
    expect(placed).to.have.length(4);
  });

  it('sends the next request when the first one ends without an answer', async () => {
    const state = await declineFirst();
    enqueue(2);
    await until('one request is sent', () => placed.length === 1);
    placement.release(state, false);
    await until('the other request is sent', () => placed.length === 2);
  });

  it('sends all requests at once when a new weight version ends the backoff of the replica', async () => {
    const state = await declineFirst();
    enqueue(3);
    await until('one request is sent', () => placed.length === 1);
    placement.release(state, false);
    state.backOff(LONG_BACKOFF_MS);
    await reschedule();
    expect(placed).to.have.length(1);
    directory.set({ ...REPLICA, modelVersions: new Map([['m', 2]]) });
    await turn();
    await turn();
    expect(placed).to.have.length(3);
  });

  it('probes a replica that declined only when all others are full', async () => {
    directory.set({ ...REPLICA, id: 'r2' });
    const other = directory.get('r2') as ReplicaState;
    const declined = directory.get('r1') as ReplicaState;
    other.inFlight = SLOTS - 1;
    declined.backOff(1);
    await until('its backoff is over', () => !declined.isUnhealthy);
    enqueue(1);
    await until('one request is sent', () => placed.length === 1);
    expect(placed[0]).to.equal(other);
    enqueue(1);
    await until('the next request is sent', () => placed.length === 2);
    expect(placed[1]).to.equal(declined);
  });

  it('restricts a request to certain replicas, full or not, as long as the service has one of them', async () => {
    directory.set({ ...REPLICA, id: 'r2' });
    const restricted = directory.get('r2') as ReplicaState;
    restricted.inFlight = SLOTS;
    void placement
      .acquire({
        service: () => 's',
        slots: () => SLOTS,
        accepts: () => true,
        restrictTo: ({ id }) => id === 'r2',
        preferred: () => undefined,
        expectedEvents: 0,
        priority: 1,
        signal: controller.signal,
      })
      .then((state) => state && placed.push(state));
    await reschedule();
    expect(placed).to.deep.equal([]);
    directory.remove('r2');
    await until('the request is sent', () => placed.length === 1);
    expect(placed[0]).to.equal(directory.get(REPLICA.id));
  });

  describe('replicas of different speed', () => {
    const EVENT_MS = 40;
    const SLOW_EVENT_MS = 60;

    const accept = (state: ReplicaState) => placement.markAccepted(state);

    function add(id: string, eventMs: number): ReplicaState {
      directory.set({ ...REPLICA, id });
      const state = directory.get(id) as ReplicaState;
      state.recordEventInterval(eventMs);
      return state;
    }

    it('prefers the fastest replica for long requests, even when it has more load', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      enqueue(SLOTS + 2, 100, undefined, accept);
      await until('all requests are sent', () => placed.length === SLOTS + 2);
      expect([fast.inFlight, slow.inFlight]).to.deep.equal([SLOTS, 2]);
    });

    it('spreads short requests by load', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      enqueue(SLOTS, 5, undefined, accept);
      await until('all requests are sent', () => placed.length === SLOTS);
      expect([fast.inFlight, slow.inFlight]).to.deep.equal([SLOTS / 2, SLOTS / 2]);
    });

    it('ignores the preferred replica when it has become slow', async () => {
      directory.remove(REPLICA.id);
      const slow = add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      enqueue(1, 100, slow.id);
      await until('the request is sent', () => placed.length === 1);
      expect(placed[0]).to.equal(fast);
    });

    it('finds the fastest move target, preferring one with a free slot', () => {
      directory.remove(REPLICA.id);
      add('slow', SLOW_EVENT_MS);
      const fast = add('fast', EVENT_MS);
      const query = { service: 's', slots: () => SLOTS, accepts: () => true };
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: EVENT_MS, hasFreeSlot: true });
      fast.inFlight = SLOTS;
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: SLOW_EVENT_MS, hasFreeSlot: true });
      enqueue(1);
      expect(placement.findMoveTarget(query)).to.deep.equal({ eventMs: EVENT_MS, hasFreeSlot: false });
    });
  });
});
