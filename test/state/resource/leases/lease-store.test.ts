/** Guards against adopting a lease whose rows changed while they were read. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { LeaseStore } from '../../../../src/state/resource/leases/lease-store.js';
import type { Table } from '../../../../src/state/resource/tables/row-table.js';

const LEASE = 'rollouts/t/0';
const SESSION = 'session-1';
const LEASE_MS = 60_000;

/** A table in which the session holds the lease at epoch 2 and reads return the given epoch row. */
function tableWith(epochRow: { version: number; epoch: number }): Table {
  const rows = [
    { key: `lease/${LEASE}`, version: 2, value: { holder: 'node-1', session: SESSION, epoch: 2 } },
    { key: `lease-epoch/${LEASE}`, version: epochRow.version, value: { epoch: epochRow.epoch } },
  ];
  return {
    read: async (keys: readonly string[]) => ok(rows.filter(({ key }) => keys.includes(key))),
    transact: async () => ok({ committed: true, failed: [] }),
  } as unknown as Table;
}

async function acquire(epochRow: { version: number; epoch: number }) {
  const leases = new LeaseStore(tableWith(epochRow), 'node-1', SESSION, LEASE_MS);
  await leases.renew();
  return (await leases.tryAcquire(LEASE))._unsafeUnwrap();
}

describe('LeaseStore', () => {
  it('adopts a lease already held by its session with the version of its epoch row', async () => {
    expect((await acquire({ version: 2, epoch: 2 }))?.condition.version).to.equal(2);
  });

  it('does not adopt a lease held by its session with an epoch row that was read before the acquisition', async () => {
    expect(await acquire({ version: 1, epoch: 1 })).to.equal(undefined);
  });
});
