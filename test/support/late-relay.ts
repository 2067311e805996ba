/**
 * A TCP relay in front of one address whose bytes can arrive late: it holds what callers send and delivers it
 * later, with the end of their connection later still or never. Answers pass at once.
 */
import type { AddressInfo } from 'node:net';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { monotonicMs } from '../../src/common/clock.js';

const LOOPBACK = '127.0.0.1';

/** How what arrives from now on is held. Times are in milliseconds. */
export interface Hold {
  /** Drawn for each connection. */
  readonly delayMs: () => number;
  /** Time between the last bytes of a connection and its end; the end is never delivered without it. */
  readonly endAfterMs?: number;
}

/** One relay. */
export class LateRelay {
  /** Bytes of callers that were delivered, at once or late. */
  deliveredBytes = 0;
  /** Bytes that were held. */
  heldBytes = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private target = { host: LOOPBACK, port: 9 };
  private holding: Hold | undefined;

  private constructor() {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.accept(near));
  }

  static async start(): Promise<LateRelay> {
    const relay = new LateRelay();
    await new Promise<void>((resolve) => relay.server.listen(0, LOOPBACK, resolve));
    return relay;
  }

  /** `IP:PORT` of the relay. */
  get address(): string {
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets what stands behind the relay, as `IP:PORT`. */
  setTarget(address: string): void {
    const { hostname, port } = new URL(`http://${address}`);
    this.target = { host: hostname, port: Number(port) };
  }

  /** Holds what arrives from now on; `undefined` lets it pass. What is held stays held. */
  hold(how: Hold | undefined): void {
    this.holding = how;
  }

  /** Refuses new connections, as the address of a process that has ended. */
  refuse(): void {
    this.server.close();
  }

  /** Stops at once. */
  stop(): void {
    this.refuse();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(near: Socket): void {
    const far = connect(this.target.port, this.target.host);
    const toFar = new LateSide(this, far, () => this.holding);
    for (const socket of [near, far]) {
      this.sockets.add(socket);
      // A broken connection ends like any other: by 'close'.
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    }
    near.on('data', (chunk) => toFar.write(chunk));
    near.on('end', () => toFar.end());
    near.on('close', () => toFar.end());
    far.on('data', (chunk) => near.write(chunk));
    far.on('close', () => near.destroy());
  }
}

/** The direction of one connection from its caller to the target, in order. */
class LateSide {
  private held: Hold | undefined;
  private delayMs = 0;
  private isEnding = false;
  private readonly waiting: { readonly dueMs: number; readonly act: () => void }[] = [];

  constructor(
    private readonly relay: LateRelay,
    private readonly far: Socket,
    private readonly holding: () => Hold | undefined,
  ) {}

  write(chunk: Buffer): void {
    this.follow();
    if (this.held) this.relay.heldBytes += chunk.length;
    this.later(this.delayMs, () => {
      this.relay.deliveredBytes += chunk.length;
      this.far.write(chunk);
    });
  }

  end(): void {
    if (this.isEnding) return;
    this.isEnding = true;
    if (this.held && this.held.endAfterMs === undefined) return;
    const afterMs = this.held?.endAfterMs ?? 0;
    this.later(0, () => setTimeout(() => this.far.destroy(), afterMs));
  }

  /** A hold reaches a connection with its next bytes, and leaves it with the first after what it holds. */
  private follow(): void {
    const holding = this.holding();
    if (holding === this.held || (!holding && this.waiting.length > 0)) return;
    this.held = holding;
    this.delayMs = holding?.delayMs() ?? 0;
  }

  /** Acts after `delayMs`, and after everything before. */
  private later(delayMs: number, act: () => void): void {
    this.waiting.push({ dueMs: monotonicMs() + delayMs, act });
    if (this.waiting.length === 1) this.actOnDue();
  }

  private actOnDue(): void {
    for (let next = this.waiting[0]; next && next.dueMs <= monotonicMs(); next = this.waiting[0]) {
      next.act();
      this.waiting.shift();
    }
    const next = this.waiting[0];
    if (next) setTimeout(() => this.actOnDue(), Math.max(1, Math.ceil(next.dueMs - monotonicMs())));
  }
}
