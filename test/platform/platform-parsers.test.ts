/** Parsers must accept or reject arbitrary bytes from other processes without throwing. */
import { expect } from 'chai';
import fc from 'fast-check';
import { parseSubmission } from '../../platform/job-bodies.js';
import { parseConfiguration, parseWeightVersion } from '../../platform/operator-rows.js';
import { parseReport } from '../../platform/replica-wire.js';
import { parseSettingsFile } from '../../platform/settings-file.js';
import {
  EventStreamError,
  EventStreamParser,
  type StreamEvent,
} from '../../src/protocol/service/event-stream.js';
import { RoutingSnapshot } from '../../src/state/service/configuration/routing-table.js';
import { ODD_VALUES } from '../support/odd-records.js';
import { usualConfiguration } from '../support/service-system.js';

const RUNS = 400;
const SEED = 20_261_202;
const options = { numRuns: RUNS, seed: SEED };

/** Arbitrary bytes and JSON, including the names that the parsers look for. */
const keys = fc.constantFrom(
  'version',
  'routes',
  'services',
  'limits',
  'host',
  'pathPrefix',
  'items',
  'models',
  'engine',
  'split',
);
const json = fc.letrec((tie) => ({
  value: fc.oneof(
    { maxDepth: 4 },
    fc.constantFrom(null, true, 0, -1, 1.5, 7, '', 'text', '/a/'),
    fc.array(tie('value'), { maxLength: 3 }),
    fc.dictionary(keys, tie('value'), { maxKeys: 5 }),
  ),
})).value;
const bytes = fc.oneof(
  fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array)),
  json.map((value) => Buffer.from(JSON.stringify(value), 'utf8')),
);

/** A valid configuration with one value replaced. */
const damagedConfiguration = fc.tuple(json, fc.nat(30)).map(([value, place]) => {
  const configuration = JSON.parse(JSON.stringify(usualConfiguration(1))) as Record<string, unknown>;
  const places: [object: Record<string, unknown>, key: string][] = [];
  const visit = (node: unknown) => {
    if (typeof node !== 'object' || node === null) return;
    for (const key of Object.keys(node)) {
      places.push([node as Record<string, unknown>, key]);
      visit((node as Record<string, unknown>)[key]);
    }
  };
  visit(configuration);
  const [node, key] = places[place % places.length] as (typeof places)[number];
  node[key] = value;
  return Buffer.from(JSON.stringify(configuration), 'utf8');
});

/** Pieces and fields of an event that goes near the size limit, and most processor time for it, milliseconds. */
const PIECE_COUNT = 200_000;
const FIELD_COUNT = 20_000;
const CPU_LIMIT_MS = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

describe('platform parsers', () => {
  it('accepts or rejects a configuration, and an accepted one can be matched', () => {
    fc.assert(
      fc.property(fc.oneof(bytes, damagedConfiguration), (value) => {
        const configuration = parseConfiguration(value);
        if (configuration) new RoutingSnapshot(configuration).match('service.example', '/lookup/x');
      }),
      options,
    );
  });

  const oddOperatorRows: readonly (readonly [name: string, value: Buffer])[] = [
    ...ODD_VALUES,
    ...['1e300', '9007199254740993', '-1', '1.5', '"2"', 'null', '1e400'].map(
      (version) =>
        [
          `the version ${version}`,
          Buffer.from(`{"version":${version},"model":"m","routes":[],"services":[],"limits":{}}`),
        ] as const,
    ),
  ];
  for (const [name, value] of oddOperatorRows)
    it(`takes neither a configuration nor a named version from ${name}, which would stay in force`, () => {
      expect(parseConfiguration(value)).to.equal(undefined);
      expect(parseWeightVersion('version/m', value)).to.equal(undefined);
    });

  it('takes no configuration without lists of routes and services', () => {
    for (const field of ['routes', 'services'])
      for (const wrong of [undefined, null, {}, 'x', 5]) {
        const row = { ...usualConfiguration(2), [field]: wrong };
        expect(parseConfiguration(Buffer.from(JSON.stringify(row)))).to.equal(undefined);
      }
  });

  it('accepts or rejects a named version', () => {
    fc.assert(
      fc.property(bytes, (value) => {
        const named = parseWeightVersion('version/model-a', value);
        if (named) expect(Number.isInteger(named.version)).to.equal(true);
      }),
      options,
    );
  });

  it('accepts a submission or names its malformed field', () => {
    fc.assert(
      fc.property(bytes, (value) => {
        const parsed = parseSubmission(value);
        if (parsed.isErr()) expect(parsed.error.field).to.not.equal('');
      }),
      options,
    );
  });

  it('accepts or rejects the report of a replica', () => {
    fc.assert(
      fc.property(bytes, (value) => {
        const report = parseReport(value);
        if (report)
          for (const version of report.modelVersions.values())
            expect(Number.isInteger(version)).to.equal(true);
      }),
      options,
    );
  });

  it('accepts a settings file or names its malformed field', () => {
    const line = fc.tuple(
      fc.constantFrom('node', 'zone', 'listen.front', 'listen.ready', 'platform.addr', 'bounds.graceS', 'x'),
      fc.constantFrom('', '=', '=a', '=127.0.0.1:80', '=:', '=-1', '=9e99', '=1=2'),
    );
    fc.assert(
      fc.property(fc.array(line, { maxLength: 12 }), (lines) => {
        const parsed = parseSettingsFile(lines.map(([name, value]) => `${name}${value}`).join('\n'));
        if (parsed.isErr()) expect(parsed.error.field).to.not.equal('');
      }),
      options,
    );
  });

  it('parses the same events wherever a stream is split into chunks', () => {
    const event = fc.tuple(fc.nat(99), fc.string(), fc.constantFrom('\n', '\r\n'));
    fc.assert(
      fc.property(
        fc.array(event, { maxLength: 6 }),
        fc.array(fc.nat(200), { maxLength: 8 }),
        (events, cuts) => {
          const data = (text: string) => text.replaceAll(/[\r\n]/g, ' ');
          const stream = Buffer.from(
            events.map(([id, text, end]) => `id: ${id}${end}data: ${data(text)}${end}${end}`).join(''),
            'utf8',
          );
          const places = [...new Set(cuts.map((cut) => cut % (stream.length + 1)))].sort((a, b) => a - b);
          const parser = new EventStreamParser();
          const found: StreamEvent[] = [];
          for (const [at, place] of [...places, stream.length].entries())
            found.push(...parser.push(stream.subarray(places[at - 1] ?? 0, place)));
          expect(found.map(({ id }) => id)).to.deep.equal(events.map(([id]) => String(id)));
          expect(found.map((one) => one.data)).to.deep.equal(events.map(([, text]) => data(text)));
          expect(parser.hasRemainder).to.equal(false);
        },
      ),
      options,
    );
  });

  it('throws only EventStreamError for bytes that are not events, and bounds its buffer', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 100 }), { maxLength: 5 }), (chunks) => {
        const parser = new EventStreamParser();
        for (const chunk of chunks) parser.push(Buffer.from(chunk));
      }),
      options,
    );
    const parser = new EventStreamParser();
    const piece = Buffer.alloc(1024 * 1024, 'a');
    expect(() => {
      for (let count = 0; count < 8; count += 1) parser.push(piece);
    }).to.throw(EventStreamError);
  });

  it('parses an event in pieces of one byte, or with many fields, without going over it again and again', () => {
    const usedMs = (work: () => void) => {
      const before = process.cpuUsage();
      work();
      const { user, system } = process.cpuUsage(before);
      return (user + system) / MICROSECONDS_PER_MILLISECOND;
    };
    const byte = Buffer.from('x');
    const fields = Buffer.from(
      `${Array.from({ length: FIELD_COUNT }, (_, at) => `f${at}:x`).join('\n')}\n\n`,
    );
    const parser = new EventStreamParser();
    const piecesMs = usedMs(() => {
      for (let count = 0; count < PIECE_COUNT; count += 1) parser.push(byte);
    });
    expect(parser.push(Buffer.from('\n\n'))).to.deep.equal([]);
    const fieldsMs = usedMs(() => expect(parser.push(fields).length).to.equal(1));
    expect(piecesMs).to.be.lessThan(CPU_LIMIT_MS);
    expect(fieldsMs).to.be.lessThan(CPU_LIMIT_MS);
  });
});
