import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { sleep } from '../../../../src/common/clock.js';
import type { DecisionLogger } from '../../../../src/common/decision-logger.js';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import {
  type RecordRange,
  type RecordStore,
  RecordStoreError,
} from '../../../../src/protocol/record-store.js';
import { InstrumentedStore } from '../../../../src/state/service/store/instrumented-store.js';
import { until } from '../../../support/wait.js';

const CALL_INTERVAL_MS = 10;
const CALL_COUNT = 60;
const UP: RecordRange = { table: 't', partition: 'up' };
const DOWN: RecordRange = { table: 't', partition: 'down' };

describe('Health of InstrumentedStore', () => {
  let healthChanges: string[];
  let store: InstrumentedStore;

  beforeEach(() => {
    healthChanges = [];
    const logger = { record: ({ change }: { change: string }) => healthChanges.push(change) };
    const inner = {
      scan: async ({ partition }: RecordRange) =>
        partition === 'down'
          ? err(new RecordStoreError('unavailable', 'none', 'down'))
          : ok({ records: [], version: 1, hasMore: false }),
    };
    store = new InstrumentedStore(
      inner as unknown as RecordStore,
      new ServiceMetrics(),
      logger as unknown as DecisionLogger,
    );
  });

  it('does not change while only a part of the store is down', async () => {
    for (let call = 0; call < CALL_COUNT; call += 1) {
      await store.scan(call % 2 === 0 ? DOWN : UP);
      await sleep(CALL_INTERVAL_MS);
    }
    expect(store.isAnswering()).to.equal(true);
    expect(healthChanges).to.deep.equal([]);
  });

  it('changes once when the store stops answering and once when it answers again', async () => {
    await store.scan(UP);
    await until('the store counts as silent', async () => {
      await store.scan(DOWN);
      return !store.isAnswering();
    });
    await store.scan(DOWN);
    await store.scan(UP);
    await store.scan(UP);
    expect(store.isAnswering()).to.equal(true);
    expect(healthChanges).to.deep.equal(['store silent', 'store answering']);
  });
});
