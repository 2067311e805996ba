/**
 * A link to one address, which can be cut as a silent partition (DEPLOY.md, "Network"): what is under way is held up, and
 * lost if its sender resets the connection. The sender's kernel sends held bytes again 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s
 * after the first time (least time-out of TCP 200 ms, doubled each time); the first of these after the cut arrives. A
 * connection that is opened through a cut never comes about: whatever is sent on it is dropped.
 */
import { connect, createServer } from 'node:net';

const RESENDS_MS = [200, 600, 1_400, 3_000, 6_200, 12_600];

export class Link {
  static async start(target) {
    const link = new Link(target);
    await new Promise((resolve) => link.server.listen({ host: '127.0.0.1', port: 0 }, resolve));
    link.address = `127.0.0.1:${link.server.address().port}`;
    return link;
  }

  constructor(target) {
    const [host, port] = target.split(':');
    this.target = { host, port: Number(port) };
    this.isCut = false;
    /** Whether new connections are cut, too. */
    this.cutsNew = false;
    this.pairs = new Set();
    /** Connections that were opened through the cut. */
    this.lost = new Set();
    this.server = createServer((near) => this.open(near));
  }

  stop() {
    this.server.close();
    for (const near of this.lost) near.destroy();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  open(near) {
    const isLost = this.isCut && this.cutsNew;
    if (isLost) {
      near.resume();
      near.on('error', () => {});
      this.lost.add(near);
      return;
    }
    const pair = { near, far: connect(this.target), isCut: false, held: [] };
    this.pairs.add(pair);
    this.join(pair, near, pair.far, true);
    this.join(pair, pair.far, near, false);
  }

  join(pair, from, to, isFromNode) {
    const pass = (act) => {
      if (pair.isCut) pair.held.push({ sentMs: performance.now(), act });
      else act();
    };
    from.on('data', (bytes) => {
      if (isFromNode && !pair.isCut) this.onBytes?.(bytes);
      pass(() => !to.destroyed && to.write(bytes));
    });
    from.on('end', () => pass(() => to.end()));
    from.on('error', () => {
      // A reset by the sender discards what is held up.
      pair.held.length = 0;
      pass(() => to.destroy());
    });
    from.on('close', () => {
      if (!pair.isCut) {
        to.destroy();
        this.pairs.delete(pair);
      }
    });
  }

  /** Cuts the open connections, and with `cutsNew` those that are opened meanwhile. */
  cut(cutsNew) {
    this.isCut = true;
    this.cutsNew = cutsNew;
    for (const pair of this.pairs) pair.isCut = true;
  }

  /** Ends the cut. Held bytes arrive with the next time that their sender sends them again. */
  heal() {
    this.isCut = false;
    const healedMs = performance.now();
    for (const near of this.lost) near.resetAndDestroy();
    this.lost.clear();
    for (const pair of this.pairs) {
      const [first] = pair.held;
      if (!first) {
        pair.isCut = false;
        continue;
      }
      const arrivesMs = RESENDS_MS.map((delay) => first.sentMs + delay).find((at) => at > healedMs) ?? healedMs;
      setTimeout(() => {
        pair.isCut = false;
        for (const { act } of pair.held.splice(0)) act();
      }, arrivesMs - healedMs);
    }
  }
}
