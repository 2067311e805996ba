/** Memory for responses that are being read. When it is used up, the largest of them fails. */
import { TransportError } from './transport-error.js';

/** One response that is being read. */
export interface BudgetedRead {
  /** Counts received bytes. */
  add(bytes: number): void;
  /** Gives its memory back; must be called when the response was read or has failed. */
  end(): void;
}

interface Reading {
  bytes: number;
  readonly fail: (cause: TransportError) => void;
}

export class ReceiveBudget {
  private readonly readings = new Set<Reading>();
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** `fail` must end the reading, which then calls `end`. */
  begin(fail: (cause: TransportError) => void): BudgetedRead {
    const reading: Reading = { bytes: 0, fail };
    this.readings.add(reading);
    return {
      add: (bytes) => {
        if (!this.readings.has(reading)) return;
        reading.bytes += bytes;
        this.usedBytes += bytes;
        if (this.usedBytes > this.limitBytes) this.failLargest();
      },
      end: () => this.remove(reading),
    };
  }

  private failLargest(): void {
    const largest = [...this.readings].reduce((left, right) => (right.bytes > left.bytes ? right : left));
    this.remove(largest);
    const message = `responses that are being read exceed ${this.limitBytes} bytes together`;
    largest.fail(new TransportError('body-too-large', true, message));
  }

  private remove(reading: Reading): void {
    if (this.readings.delete(reading)) this.usedBytes -= reading.bytes;
  }
}
