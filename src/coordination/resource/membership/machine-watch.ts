/**
 * Singleton task that copies the platform's machine list into the configuration as Machine resources, so that
 * every node learns of a leaving machine. Resources of machines that are no longer listed are kept. A failed
 * read or commit is retried at the next poll.
 */
import { ok } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { uniqueId } from '../../../common/identifier.js';
import type { Logger } from '../../../common/logging.js';
import type { Machine, MachineListClient } from '../../../protocol/resource/machine-list.js';
import type { Manifest } from '../../../protocol/resource/manifest.js';
import { API_VERSION } from '../../../protocol/resource/resource.js';
import type { ConfigStore, ConfigView, DesiredChange } from '../../../state/resource/configuration/index.js';

/** Further changes are committed at the next poll. */
const CHANGES_PER_COMMIT = 100;

/** `intervalMs`: poll interval. */
export class MachineWatch {
  constructor(
    private readonly machines: MachineListClient,
    private readonly store: ConfigStore,
    private readonly view: ConfigView,
    private readonly logger: Logger,
    private readonly intervalMs: number,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const listed = await this.machines.list();
      if (listed.isOk()) await this.commitChanges(listed.value);
      await sleep(this.intervalMs, signal);
    }
  }

  private async commitChanges(listed: readonly Machine[]): Promise<void> {
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
