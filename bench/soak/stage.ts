/** What the faults of a soak act on, and the form of a fault. */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import { sleep } from '../../src/common/clock.js';
import type { Random } from '../../src/common/random.js';
import type { ServiceNodeProcess, ServiceSystem } from '../../test/support/service-system.js';
import type { ConfigurationSeries } from './configuration-series.js';

/** What faults act on. */
export interface Stage {
  readonly system: ServiceSystem;
  /** The running process of each node, by name. */
  readonly nodes: Map<string, ServiceNodeProcess>;
  /** Engines that are up. */
  readonly engines: Set<ReplicaServer>;
  /** Applications of all incarnations. */
  readonly applications: ReplicaServer[];
  readonly addEngine: () => Promise<ReplicaServer>;
  /** Settings of every node. */
  readonly settingsOf: (name: string) => Readonly<Record<string, string>>;
  readonly configurations: ConfigurationSeries;
  /** Time of an answer of the store without a fault, milliseconds. */
  readonly storeAnswerMs: number;
  readonly random: Random;
  /** Sends so many lookups at once. */
  sendCrowd: (count: number) => Promise<void>;
  /** Names of the nodes that the current fault affects. */
  readonly affected: Set<string>;
}

/** Causes one fault; resolves when it is over. */
export type Fault = (stage: Stage, forMs: number) => Promise<void>;

/** A fault that is on for a while; `begin` returns its end. */
export function lasting(begin: (stage: Stage) => () => void): Fault {
  return async (stage, forMs) => {
    const end = begin(stage);
    await sleep(forMs);
    end();
  };
}
