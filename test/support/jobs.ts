/** Jobs of the tests with serving nodes, and what their results must be. */
import { expect } from 'chai';
import { itemIds, type ReadResult, type TrainerJob } from '../../emulator/clients/job-trainer.js';
import { eventData } from '../../emulator/replica/replica-answers.js';
import { HOST, JOB_PATH, MODEL, SCORING_PATH } from './service-system.js';

/** Events of a stream unless an engine is set up otherwise. */
const USUAL_EVENTS = 5;

/** A job of three groups of two scored items. */
export function job(id: string, fields: Partial<TrainerJob> = {}): TrainerJob {
  return {
    id,
    host: HOST,
    path: JOB_PATH,
    model: MODEL,
    minVersion: 1,
    groups: 3,
    groupSize: 2,
    scoringPath: `${SCORING_PATH}x`,
    ...fields,
  };
}

/** The text that engines make of an item. */
export function wholeText(itemId: string, events: number): string {
  return Array.from({ length: events }, (_, index) => eventData(itemId, index + 1)).join('\n');
}

/** Every item once, whole, with its own score. */
export function expectWhole(
  results: readonly ReadResult[],
  submitted: TrainerJob,
  events = USUAL_EVENTS,
): void {
  expect(results.map((result) => result.id).sort()).to.deep.equal(itemIds(submitted).sort());
  for (const result of results) {
    expect(result.state, result.id).to.equal('completed');
    expect(result.text, result.id).to.equal(wholeText(result.id, events));
    expect(result.score, result.id).to.equal(`signed-${result.id}-score`);
  }
}
