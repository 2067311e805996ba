/**
 * The lifecycle of a long-lived thing (node, peer, back end, lease, swap), declared with robot3 inside the
 * task that owns it. The task awaits, then sends an event. An event that the current state does not take
 * is a defect: it is counted, and the state stays. Each change of state writes one log line.
 */
import { createMachine, interpret, type Machine, state, transition } from 'robot3';
import type { Logger } from './logging.js';
import type { Metrics } from './metrics.js';

/** For each state, the events it takes and the state that each one leads to. */
export type LifecycleTable<State extends string, Event extends string> = Readonly<
  Record<State, Readonly<Partial<Record<Event, State>>>>
>;

/** Builds the robot3 machine for a table of transitions. */
function buildMachine<State extends string, Event extends string>(
  initial: State,
  table: LifecycleTable<State, Event>,
): Machine {
  const states: Record<string, unknown> = {};
  for (const [name, events] of Object.entries<Readonly<Partial<Record<Event, State>>>>(table)) {
    const transitions = Object.entries(events).map(([event, target]) => transition(event, target as string));
    states[name] = state(...(transitions as never[]));
  }
  return createMachine(initial as never, states as never) as unknown as Machine;
}

/** A counter with labels. */
interface LabelledCounter {
  inc(labels: Record<string, string>): void;
}

/** What the parts of a node report to. */
export interface LifecycleObserver {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What a lifecycle reports to. */
export interface LifecycleSink {
  readonly logger: Pick<Logger, 'info'>;
  readonly metrics: { readonly lifecycleDefects: LabelledCounter; readonly transitions: LabelledCounter };
}

/** One running lifecycle. `kind` names the sort of thing, `subject` the single thing. */
export class Lifecycle<State extends string, Event extends string> {
  private readonly service;

  constructor(
    private readonly kind: string,
    private readonly subject: string,
    initial: State,
    private readonly table: LifecycleTable<State, Event>,
    private readonly observer: LifecycleSink,
  ) {
    this.service = interpret(buildMachine(initial, table), () => {});
  }

  /** The state it is in now. */
  get current(): State {
    return this.service.machine.current as State;
  }

  /** Takes an event. Returns false, and counts a defect, when the current state does not take it. */
  send(event: Event, reason = ''): boolean {
    const before = this.current;
    if (this.table[before][event] === undefined) {
      this.observer.metrics.lifecycleDefects.inc({ lifecycle: this.kind, event });
      return false;
    }
    this.service.send(event as never);
    this.reportChange(before, event, reason);
    return true;
  }

  /** Sends an event only when the current state takes it: for signals that may come in any state. */
  sendIfTaken(event: Event, reason = ''): boolean {
    return this.table[this.current][event] === undefined ? false : this.send(event, reason);
  }

  private reportChange(before: State, event: Event, reason: string): void {
    const after = this.current;
    if (after === before) return;
    this.observer.metrics.transitions.inc({ lifecycle: this.kind, state: after });
    this.observer.logger.info(`${this.kind} ${after}`, {
      subject: this.subject,
      from: before,
      event,
      reason,
    });
  }
}
