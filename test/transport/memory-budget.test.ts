import { expect } from 'chai';
import type { Generation } from '../../src/common/garbage-collector.js';
import { type Holding, MemoryBudget } from '../../src/transport/memory-budget.js';

const KILOBYTE = 1024;
const MEGABYTE = 1024 * KILOBYTE;
const LIMITS = {
  heldBytes: 10 * MEGABYTE,
  reservedBytes: MEGABYTE,
  garbageBytes: 4 * MEGABYTE,
  youngGarbageBytes: 2 * MEGABYTE,
};

describe('MemoryBudget', () => {
  let budget: MemoryBudget;
  let collected: Generation[];
  let givenUp: string[];
  let nowMs: number;

  beforeEach(() => {
    collected = [];
    givenUp = [];
    nowMs = 0;
    budget = new MemoryBudget(
      LIMITS,
      (generation) => collected.push(generation),
      () => nowMs,
    );
  });

  function hold(name: string, bytes: number): Holding {
    const holding = budget.open(() => givenUp.push(name));
    holding.grow(bytes);
    return holding;
  }

  it('gives up the holding that has kept the most bytes for the longest time', () => {
    hold('stopped', 4 * MEGABYTE);
    const growing = hold('growing', 4 * MEGABYTE);
    nowMs += 1_000;
    growing.grow(4 * MEGABYTE);
    expect(givenUp).to.deep.equal(['stopped']);
    expect(budget.heldBytes).to.equal(8 * MEGABYTE);
  });

  it('gives up a large holding for a small one, not the reverse', () => {
    for (let index = 0; index < 16; index += 1) hold(`small-${index}`, KILOBYTE);
    hold('large', 10 * MEGABYTE);
    expect(givenUp).to.deep.equal(['large']);
  });

  it('keeps room for small holdings beside large requests that may run', () => {
    hold('running', 10 * MEGABYTE).pin();
    hold('small', 16 * KILOBYTE);
    expect(givenUp).to.deep.equal([]);
    hold('large', 128 * KILOBYTE);
    expect(givenUp).to.deep.equal(['large']);
  });

  it('never gives up what is pinned or released', () => {
    hold('pinned', 6 * MEGABYTE).pin();
    hold('released', 4 * MEGABYTE).release();
    expect(budget.tryHold(8 * MEGABYTE)).to.equal(undefined);
    expect(budget.tryHold(4 * MEGABYTE)).not.to.equal(undefined);
    expect(givenUp).to.deep.equal([]);
  });

  it('collects released bytes before more are held than may wait', () => {
    hold('first', 3 * MEGABYTE).release();
    hold('second', 3 * MEGABYTE).release();
    expect(collected).to.deep.equal([]);
    hold('third', 1).release();
    expect(collected).to.deep.equal(['all']);
  });

  it('collects young objects when many bytes were copied', () => {
    const holding = hold('copied', 1);
    for (let copied = 0; copied < 5 * MEGABYTE; copied += 64 * KILOBYTE) holding.noteCopied(64 * KILOBYTE);
    expect(collected).to.deep.equal(['young', 'young']);
  });
});
