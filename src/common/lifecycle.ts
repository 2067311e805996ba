/**
 * The lifecycle of a long-lived thing (node, peer, back end, lease, swap): a robot3 state machine inside the
 * task that owns it. The task awaits, then sends an event. An event that the current state does not accept is
 * a defect: it is counted, and the state stays. Each change of state writes one log line.
 */
import { createMachine, interpret, type Machine, state, transition } from 'robot3';
import type { Logger } from './logging.js';
import type { Metrics } from './metrics.js';
import type { NodeMetrics } from './node-metrics.js';

/** For each state, the events it accepts and the state that each one leads to. */
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

/** Logs and metrics of the parts of a node. */
export interface LifecycleObserver {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The part of them that a lifecycle needs. */
export interface LifecycleSink {
  readonly logger: Pick<Logger, 'info'>;
  readonly metrics: Pick<NodeMetrics, 'lifecycleDefects' | 'transitions'>;
}

/** One running lifecycle. `kind` names the class of things, `subject` the single thing. */
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

  /** The current state. */
  get current(): State {
    return this.service.machine.current as State;
  }

  /** Applies an event. Returns false, and counts a defect, when the current state does not accept it. */
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

  /** Applies an event only when the current state accepts it: for signals that may come in any state. */
  sendIfAccepted(event: Event, reason = ''): boolean {
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
