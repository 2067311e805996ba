/**
 * Links between loopback addresses that can be cut. A cut link delivers nothing. What was sent into the cut is
 * kept by the sender's kernel and delivered when its retransmission timer first fires after the cut has healed:
 * 200 ms after the bytes were sent, and after twice the pause each time (Linux, minimum RTO). A reset discards
 * it; an orderly close does not, since the kernel goes on to send what is in the buffer.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { nowMs, record } from './record.js';

const FIRST_RETRANSMISSION_MS = 200;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Bytes from the caller that the cut holds up. */
  held: Buffer[];
  heldSinceMs: number;
  /** How the caller has ended the connection during the cut. */
  callerEnd: 'open' | 'closed' | 'reset';
}

export class Link {
  isCut = false;
  /** Called with bytes of callers before they are passed on; may cut the link. */
  onBytes: ((bytes: Buffer) => void) | undefined;
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;

  private constructor(
    private readonly name: string,
    private readonly target: string,
  ) {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.accept(near));
    this.server.unref();
  }

  static async start(name: string, target: string): Promise<Link> {
    const link = new Link(name, target);
    await new Promise<void>((resolve) => link.server.listen(0, '127.0.0.1', resolve));
    return link;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Cuts the connections that are open now; new ones pass. */
  cutOpenConnections(): void {
    for (const pair of this.pairs) this.hold(pair);
  }

  /** Cuts the whole link. */
  cut(): void {
    this.isCut = true;
    this.cutOpenConnections();
  }

  /** Ends the cut: what is held arrives with the next retransmission. */
  heal(): void {
    this.isCut = false;
    const healedAtMs = nowMs();
    for (const pair of this.pairs) {
      if (pair.heldSinceMs === Number.POSITIVE_INFINITY) continue;
      pair.near.resume();
      if (pair.held.length === 0) {
        this.release(pair);
        continue;
      }
      let sinceMs = 0;
      for (let pauseMs = FIRST_RETRANSMISSION_MS; pair.heldSinceMs + sinceMs < healedAtMs; pauseMs *= 2)
        sinceMs += pauseMs;
      setTimeout(() => this.release(pair), pair.heldSinceMs + sinceMs - healedAtMs);
    }
  }

  private hold(pair: Pair): void {
    if (pair.heldSinceMs === Number.POSITIVE_INFINITY) pair.heldSinceMs = nowMs();
  }

  private release(pair: Pair): void {
    const bytes = Buffer.concat(pair.held);
    pair.held = [];
    pair.heldSinceMs = Number.POSITIVE_INFINITY;
    if (pair.callerEnd === 'reset') {
      record(`link ${this.name}: ${bytes.length} held bytes are lost, the caller has reset the connection`);
      pair.far.destroy();
      return;
    }
    if (bytes.length > 0) record(`link ${this.name}: ${bytes.length} held bytes arrive (caller: ${pair.callerEnd})`);
    if (bytes.length > 0) pair.far.write(bytes);
    if (pair.callerEnd === 'closed') pair.far.end();
  }

  private accept(near: Socket): void {
    const [host, port] = this.target.split(':') as [string, string];
    const far = connect({ port: Number(port), host, allowHalfOpen: true });
    const pair: Pair = {
      near,
      far,
      held: [],
      heldSinceMs: this.isCut ? nowMs() : Number.POSITIVE_INFINITY,
      callerEnd: 'open',
    };
    this.pairs.add(pair);
    const isHeld = () => pair.heldSinceMs !== Number.POSITIVE_INFINITY;
    near.on('data', (chunk) => {
      if (!isHeld()) this.onBytes?.(chunk);
      if (isHeld()) pair.held.push(chunk);
      else far.write(chunk);
    });
    far.on('data', (chunk) => {
      if (!isHeld()) near.write(chunk);
    });
    near.on('end', () => {
      if (pair.callerEnd === 'open') pair.callerEnd = 'closed';
      if (!isHeld()) far.end();
    });
    near.on('error', () => {
      pair.callerEnd = 'reset';
      if (!isHeld()) far.destroy();
    });
    far.on('end', () => {
      if (!isHeld()) near.end();
    });
    far.on('error', () => near.destroy());
    far.on('close', () => {
      near.destroy();
      this.pairs.delete(pair);
    });
  }
}
