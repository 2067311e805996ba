/** Records of a soak: written by its clients, never by the nodes under test. */
import type { ReadResult, TrainerJob } from '../../emulator/clients/job-trainer.js';

/** A job as its trainer saw it. */
export interface JobHistory {
  readonly job: TrainerJob;
  /** Statuses of all submissions; 0 stands for no answer. */
  readonly statuses: number[];
  /** First result read at each position. */
  readonly positions: Map<number, ReadResult>;
  /** Later reads that differed from the first one of their position. */
  readonly changed: number[];
  /** Statuses 404 and 410 that were read after the job had been accepted. */
  readonly denials: number[];
  /** When its end was acknowledged, milliseconds. */
  endedAtMs?: number;
}

/** A lookup as its caller saw it. */
export interface LookupHistory {
  readonly id: string;
  /** Tenant whose key it bore; `undefined` for a key that no tenant has any more. */
  readonly tenant: string | undefined;
  /** 0 stands for no answer. */
  readonly status: number;
  readonly body: string;
}

/** The end of a replica under a request, as the replica itself saw it. */
export interface FatalEnd {
  readonly body: string;
  readonly atMs: number;
}

/** A request that asks a node which configuration it has in force. */
export interface ProbeHistory {
  readonly id: string;
  readonly node: string;
  /** Which process of the node. */
  readonly life: string;
  readonly path: string;
  readonly askedAtMs: number;
  readonly answeredAtMs: number;
  /** 0 stands for no answer. */
  readonly status: number;
}

/** A span in which a fault was on, milliseconds. */
export interface FaultSpan {
  readonly kind: string;
  /** Names of the affected nodes; none for a fault elsewhere. */
  readonly nodes?: readonly string[];
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All records of a soak. */
export interface History {
  readonly jobs: JobHistory[];
  readonly lookups: LookupHistory[];
  readonly faults: FaultSpan[];
  readonly fatalEnds: FatalEnd[];
  readonly probes: ProbeHistory[];
}

/** A fresh history of a job. */
export function jobHistory(job: TrainerJob): JobHistory {
  return { job, statuses: [], positions: new Map(), changed: [], denials: [] };
}

/** Takes a page that was read from `position` on. */
export function notePage(history: JobHistory, position: number, results: readonly ReadResult[]): void {
  for (const [offset, result] of results.entries()) {
    const known = history.positions.get(position + offset);
    if (!known) history.positions.set(position + offset, result);
    else if (JSON.stringify(known) !== JSON.stringify(result)) history.changed.push(position + offset);
  }
}
