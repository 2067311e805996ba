/**
 * Lifecycle of a long-lived object (node, peer, back end, lease, swap): a robot3 state machine within the
 * task that owns it. An event that the current state does not accept is a defect: it is counted, and the
 * state stays. Each change of state is logged.
 */
import { createMachine, interpret, type Machine, state, transition } from 'robot3';
import type { Logger } from './logging.js';
import type { Metrics } from './metrics.js';
import type { NodeMetrics } from './node-metrics.js';

/** For each state, the accepted events and their target states. */
export type LifecycleTable<State extends string, Event extends string> = Readonly<
  Record<State, Readonly<Partial<Record<Event, State>>>>
>;

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

/** Logger and metrics of a node. */
export interface LifecycleObserver {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The subset that a lifecycle uses. */
export interface LifecycleSink {
  readonly logger: Pick<Logger, 'info'>;
  readonly metrics: Pick<NodeMetrics, 'lifecycleDefects' | 'transitions'>;
}

/** `kind` names the type of object, `subject` the single object. */
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

  get current(): State {
    return this.service.machine.current as State;
  }

  /** Applies an event. Returns false and counts a defect if the current state does not accept it. */
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

  /** Applies an event if the current state accepts it; for events that may occur in any state. */
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
