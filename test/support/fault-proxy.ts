/** A TCP relay that can cut, freeze and swallow answers: the network between two processes. */

import type { AddressInfo } from 'node:net';
import { connect, createServer, type Server, type Socket } from 'node:net';

/** What the proxy does with traffic. */
export type ProxyMode =
  /** Passes everything on. */
  | 'pass'
  /** Refuses new connections and breaks the open ones. */
  | 'cut'
  /** Accepts connections and passes nothing on, in neither direction. */
  | 'freeze'
  /** Forwards requests and drops the answers. */
  | 'drop-answers';

/** One relay in front of one address. */
export class FaultProxy {
  private readonly server: Server;
  private readonly pairs = new Set<{ near: Socket; far: Socket }>();
  private mode: ProxyMode = 'pass';
  private blockedSources: ReadonlySet<string> = new Set();

  private constructor(private target: URL) {
    this.server = createServer((near) => this.accept(near));
  }

  /** Starts a proxy in front of a base URL, which may be set later; resolves to the proxy. */
  static async start(target = 'http://127.0.0.1:9'): Promise<FaultProxy> {
    const proxy = new FaultProxy(new URL(target));
    await new Promise<void>((resolve) => proxy.server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  /** Base URL of the proxy. */
  get address(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets what stands behind the proxy. */
  setTarget(target: string): void {
    this.target = new URL(target);
  }

  /** Refuses connections from these IP addresses and breaks the open ones. */
  blockSources(sources: readonly string[]): void {
    this.blockedSources = new Set(sources);
    for (const { near } of [...this.pairs]) if (this.isBlocked(near)) near.destroy();
  }

  /** Changes what happens from now on; open connections follow. */
  set(mode: ProxyMode): void {
    this.mode = mode;
    for (const { near, far } of [...this.pairs]) {
      if (mode === 'cut') {
        near.destroy();
        far.destroy();
      } else if (mode === 'freeze') {
        near.pause();
        far.pause();
      } else {
        near.resume();
        far.resume();
      }
    }
  }

  /** Stops at once. */
  stop(): void {
    this.set('cut');
    this.server.close();
  }

  private accept(near: Socket): void {
    if (this.mode === 'cut' || this.isBlocked(near)) {
      near.destroy();
      return;
    }
    const far = connect(Number(this.target.port), this.target.hostname);
    const pair = { near, far };
    this.pairs.add(pair);
    const close = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => {
      if (this.mode === 'drop-answers') close();
      else near.write(chunk);
    });
    for (const socket of [near, far]) {
      socket.on('error', close);
      socket.on('close', close);
    }
    if (this.mode === 'freeze') {
      near.pause();
      far.pause();
    }
  }

  private isBlocked(near: Socket): boolean {
    return this.blockedSources.has(near.remoteAddress ?? '');
  }
}
