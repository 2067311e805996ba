/**
 * Machine watch, a singleton task: copies the platform's machine list into the configuration as Machine
 * resources, so that a leaving machine reaches every node like any other change. A machine that is no longer
 * listed keeps its resource. When the list or the store is not reachable, the next poll repeats the change.
 */
import { ok } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { uniqueId } from '../../../common/identifier.js';
import type { Logger } from '../../../common/logging.js';
import type { Machine, MachineListClient } from '../../../protocol/resource/machine-list.js';
import type { Manifest } from '../../../protocol/resource/manifest.js';
import { API_VERSION } from '../../../protocol/resource/resource.js';
import type { ConfigStore, ConfigView, DesiredChange } from '../../../state/resource/configuration/index.js';

/** Changes in one revision. Chosen, not measured: the rest follows at the next poll. */
const CHANGES_PER_COMMIT = 100;

/** The machine watch of one node; `intervalMs` is its poll interval, milliseconds. */
export class MachineWatch {
  constructor(
    private readonly machines: MachineListClient,
    private readonly store: ConfigStore,
    private readonly view: ConfigView,
    private readonly logger: Logger,
    private readonly intervalMs: number,
  ) {}

  /** Polls until the lease is lost. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const listed = await this.machines.list();
      if (listed.isOk()) await this.record(listed.value);
      await sleep(this.intervalMs, signal);
    }
  }

  private async record(listed: readonly Machine[]): Promise<void> {
    const changed = listed.filter((machine) => {
      const known = this.view.get('Machine', machine.name)?.spec;
      return known?.state !== machine.state || known.zone !== machine.zone;
    });
    const batch = changed.slice(0, CHANGES_PER_COMMIT);
    if (batch.length === 0) return;
    const committed = await this.store.commit(uniqueId(), batch.map(toChange));
    if (committed.isErr()) this.logger.warn('machine list not recorded', { reason: committed.error.message });
  }
}

function toChange(machine: Machine): DesiredChange {
  const { name, zone, state } = machine;
  const manifest: Manifest = {
    apiVersion: API_VERSION,
    kind: 'Machine',
    metadata: { name },
    spec: { zone, state },
  };
  return { kind: 'Machine', name, expectedVersion: undefined, update: () => ok(manifest) };
}
