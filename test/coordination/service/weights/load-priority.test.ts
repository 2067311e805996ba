/** Order of loads when several models are behind. */
import { expect } from 'chai';
import {
  type ModelAssignment,
  prioritizeLoads,
} from '../../../../src/coordination/service/weights/load-priority.js';

const allFree = () => true;

function assignmentOf(model: string, newest: number, versions: readonly number[]): ModelAssignment {
  const replicas = versions.map((version, index) => ({
    id: `${model}-${index + 1}`,
    version,
    isLoading: false,
  }));
  return { model, newest, replicas };
}

const modelsOf = (loads: readonly { model: string }[]) => loads.map(({ model }) => model);

describe('prioritizeLoads', () => {
  it('updates a few replicas of each model before many of one model', () => {
    const models = ['a', 'b', 'c', 'd'].map((model) => assignmentOf(model, 3, [1, 1, 1, 1]));
    const loads = prioritizeLoads(models, allFree);
    expect(new Set(modelsOf(loads.slice(0, 4)))).to.have.length(4);
    expect(modelsOf(loads.slice(0, 8)).filter((model) => model === 'a')).to.have.length(2);
  });

  it('puts a model without usable replicas before a model with them', () => {
    const loads = prioritizeLoads([assignmentOf('a', 3, [2, 2]), assignmentOf('b', 3, [1, 1])], allFree);
    expect(modelsOf(loads)).to.deep.equal(['b', 'b', 'a', 'a']);
  });

  it('counts running loads as done and skips replicas that are not free', () => {
    const a = assignmentOf('a', 2, [1, 1]);
    const replicas = a.replicas.map((replica, index) => ({ ...replica, isLoading: index === 0 }));
    const loads = prioritizeLoads([{ ...a, replicas }, assignmentOf('b', 2, [1, 1])], (id) => id !== 'b-1');
    expect(loads.map(({ id }) => id)).to.deep.equal(['b-2', 'a-2']);
  });

  it('keeps the order of replicas within a model and leaves out those that are up to date', () => {
    const loads = prioritizeLoads([assignmentOf('a', 4, [4, 2, 3])], allFree);
    expect(loads.map(({ id }) => id)).to.deep.equal(['a-2', 'a-3']);
  });
});
