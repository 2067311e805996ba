/**
 * A TCP relay that delivers bytes late, as after a retransmission. While it holds, nothing reaches the target,
 * and the end of a caller's connection is never passed on.
 */
import type { AddressInfo } from 'node:net';
import { connect, createServer, type Server, type Socket } from 'node:net';

/** A connection through the relay, from the caller to the target. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  readonly held: Buffer[];
}

export class HoldingProxy {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private isHolding = false;

  private constructor(private readonly target: string) {
    this.server = createServer((near) => this.accept(near));
  }

  /** Starts a relay to `target` (`IP:PORT`). */
  static async start(target: string): Promise<HoldingProxy> {
    const proxy = new HoldingProxy(target);
    await new Promise<void>((resolve) => proxy.server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  /** `IP:PORT`. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Everything that is held, as text. */
  get heldText(): string {
    return [...this.pairs].map(({ held }) => Buffer.concat(held).toString('utf8')).join('\n');
  }

  hold(): void {
    this.isHolding = true;
  }

  /** Delivers what is held. */
  release(): void {
    this.isHolding = false;
    for (const { far, held } of this.pairs) for (const chunk of held.splice(0)) far.write(chunk);
  }

  stop(): void {
    this.server.close();
    for (const { near, far } of this.pairs) for (const socket of [near, far]) socket.destroy();
  }

  private accept(near: Socket): void {
    const [host, port] = this.target.split(':') as [string, string];
    const far = connect(Number(port), host);
    const pair: Pair = { near, far, held: [] };
    this.pairs.add(pair);
    near.on('data', (chunk) => {
      if (this.isHolding) pair.held.push(chunk);
      else far.write(chunk);
    });
    far.on('data', (chunk) => near.write(chunk));
    near.on('error', () => near.destroy());
    near.on('close', () => {
      if (!this.isHolding) far.destroy();
    });
    far.on('error', () => far.destroy());
    far.on('close', () => {
      near.destroy();
      this.pairs.delete(pair);
    });
  }
}
