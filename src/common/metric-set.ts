/** Creates metrics in a registry of their own, since several nodes may share a process. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Base class of a set of metrics. Names follow the Prometheus conventions. */
export class MetricSet {
  readonly registry = new Registry();

  constructor(private readonly latencyBucketsSeconds: readonly number[]) {}

  protected counter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): Counter<Label> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  protected gauge<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): Gauge<Label> {
    return new Gauge({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  /** A histogram of durations, in seconds. */
  protected histogram<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): Histogram<Label> {
    const buckets = [...this.latencyBucketsSeconds];
    return new Histogram({ name, help, labelNames: [...labelNames], buckets, registers: [this.registry] });
  }
}
