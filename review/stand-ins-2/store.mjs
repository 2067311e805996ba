/** Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): rows, feed, objects. */
import { createServer } from 'node:http';

const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;
const HISTORY_MS = 20_000;

const partKey = (table, part) => `${table}\u0000${part ?? ''}`;

export class Store {
  constructor() {
    this.parts = new Map();
    this.history = [];
    this.version = 0;
    this.waiting = new Set();
    this.objects = new Map();
    /** 'answering', 'silent' or 'busy'. */
    this.mode = 'answering';
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host) {
    return new Promise((resolve) => {
      this.server.listen({ host, port: 0 }, () => resolve(`${host}:${this.server.address().port}`));
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  find({ table, part, key }) {
    return this.parts.get(partKey(table, part))?.get(key);
  }

  transact({ expected = [], put = [], remove = [] }) {
    const holds = expected.every((row) => (this.find(row)?.ver ?? 0) === row.ver);
    if (!holds) return { rows: expected.flatMap((row) => this.find(row) ?? []) };
    this.version += 1;
    const ver = this.version;
    for (const { table, part = '', key, value } of put) this.change({ table, part, key, value, ver });
    for (const { table, part = '', key } of remove) this.change({ table, part, key, ver, gone: true });
    for (const wake of [...this.waiting]) wake();
    return { ver };
  }

  put(table, key, value, part = '') {
    const encoded = Buffer.from(JSON.stringify(value), 'utf8').toString('base64');
    this.transact({ put: [{ table, part, key, value: encoded }] });
  }

  remove(table, key, part = '') {
    this.transact({ remove: [{ table, part, key }] });
  }

  json(table, key, part = '') {
    const row = this.find({ table, part, key });
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  rowsOf(table, part) {
    const rows = [...(this.parts.get(partKey(table, part)) ?? new Map()).values()];
    return rows.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
  }

  change(row) {
    const name = partKey(row.table, row.part);
    const rows = this.parts.get(name) ?? new Map();
    this.parts.set(name, rows);
    if (row.gone) rows.delete(row.key);
    else rows.set(row.key, row);
    this.history.push({ row, atMs: performance.now() });
    while (this.history.length > 0 && performance.now() - this.history[0].atMs > HISTORY_MS) {
      this.forgotten = this.history.shift().row.ver;
    }
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (this.mode === 'silent') return;
      if (this.mode === 'busy') this.answer(response, 503, {});
      else this.serve(request, response, Buffer.concat(chunks));
    });
    request.on('error', () => {});
    response.on('error', () => {});
  }

  serve(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/rows-tx') this.serveTransaction(response, body);
    else if (url.pathname === '/rows-get') this.serveRange(response, query);
    else if (url.pathname === '/rows-feed') void this.serveFeed(response, query);
    else if (url.pathname === '/rows-parts') this.serveParts(response, query);
    else this.serveObject(response, url.pathname, body);
  }

  serveTransaction(response, body) {
    const transaction = JSON.parse(body.toString('utf8'));
    const { expected = [], put = [], remove = [] } = transaction;
    const entries = expected.length + put.length + remove.length;
    if (entries > MAX_ENTRIES || body.length > MAX_TRANSACTION_BYTES) {
      this.answer(response, 400, {});
      return;
    }
    if ([...put, ...remove].some(({ table }) => table === 'servers')) {
      this.answer(response, 403, {});
      return;
    }
    const result = this.transact(transaction);
    setTimeout(() => this.answer(response, result.rows ? 412 : 200, result), 3);
  }

  serveRange(response, query) {
    const from = query.get('from') ?? '';
    const until = query.get('targetVersion');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const all = this.rowsOf(query.get('table') ?? '', query.get('part') ?? '').filter(
      ({ key }) => key >= from && (until === null || key < until),
    );
    const rows = [];
    let bytes = 0;
    for (const row of all) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) break;
      rows.push(row);
    }
    this.answer(response, 200, { rows, more: rows.length < all.length });
  }

  serveParts(response, query) {
    const prefix = `${query.get('table')}\u0000`;
    const parts = [...this.parts].filter(([name, rows]) => name.startsWith(prefix) && rows.size > 0);
    this.answer(response, 200, { parts: parts.map(([name]) => name.slice(prefix.length)), more: false });
  }

  async serveFeed(response, query) {
    const table = query.get('table') ?? '';
    const after = Number(query.get('afterRev') ?? 0);
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    for (;;) {
      if ((this.forgotten ?? 0) > after) return this.answer(response, 410, {});
      const newest = new Map();
      for (const { row } of this.history)
        if (row.table === table && row.ver > after) newest.set(`${row.part}\u0000${row.key}`, row);
      const rows = [...newest.values()].sort((a, b) => a.ver - b.ver);
      if (rows.length > 0 || performance.now() >= untilMs) return this.answer(response, 200, { rows });
      await this.change_or(untilMs - performance.now());
    }
  }

  change_or(ms) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, Math.max(1, ms));
      this.waiting.add(end);
    });
  }

  serveObject(response, path, body) {
    const slash = path.indexOf('/', 1);
    const name = path.slice(slash + 1);
    const call = path.slice(0, slash + 1);
    if (call === '/blob-put/') this.objects.set(name, body);
    else if (call === '/blob-drop/') this.objects.delete(name);
    else if (call === '/blob-get/') {
      const found = this.objects.get(name);
      if (found) response.writeHead(200).end(found);
      else this.answer(response, 404, {});
      return;
    }
    this.answer(response, 200, {});
  }

  answer(response, status, body) {
    if (response.destroyed) return;
    const text = JSON.stringify({ ver: this.version, now_ms: Math.round(performance.now()), ...body });
    response.writeHead(status, { 'content-type': 'application/json' }).end(text);
  }
}
