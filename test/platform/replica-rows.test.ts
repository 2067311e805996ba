/** A row of a replica with any malformed field must be rejected as a whole. */
import { expect } from 'chai';
import fc from 'fast-check';
import { parseReplica } from '../../platform/replica-rows.js';
import { ODD_KEYS, ODD_VALUES } from '../support/odd-records.js';

const SEED = 20_261_203;
const RUNS = 2_000;
const VALID_ROW = {
  service: 'application',
  addr: '10.0.0.1:8080',
  zone: 'zone-a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  coldLeftMs: 0,
  seq: 4,
  born: 1_790_000_000_000,
  models: [{ name: 'model-a', version: 3, adapters: [] }],
};
const FIELDS = Object.keys(VALID_ROW) as (keyof typeof VALID_ROW)[];
const REQUIRED = FIELDS.filter((field) => field !== 'born' && field !== 'models');

const parse = (row: unknown) => parseReplica('r1', Buffer.from(JSON.stringify(row), 'utf8'));

const isIgnored = (field: string) => field === 'unknown' || field === '__proto__';
const isZeroAllowed = (field: string) => ['coldLeftMs', 'seq', 'born'].includes(field);

const arbitraryValue = fc.letrec((tie) => ({
  value: fc.oneof(
    { maxDepth: 6 },
    fc.constantFrom(
      null,
      true,
      false,
      0,
      -1,
      1.5,
      1e308,
      -1e308,
      2 ** 53,
      '',
      'x',
      '127.0.0.1:0',
      'a:1',
      '[::1]:1',
      '::1:1',
    ),
    fc.string({ maxLength: 300 }),
    fc.double(),
    fc.array(tie('value'), { maxLength: 3 }),
    fc.dictionary(fc.constantFrom(...FIELDS, '__proto__', 'x'), tie('value'), { maxKeys: 4 }),
  ),
})).value;

describe('parseReplica', () => {
  it('parses a valid row, with and without a start time', () => {
    const replica = parse(VALID_ROW)._unsafeUnwrap();
    expect(replica).to.deep.equal({
      id: 'r1',
      startedAtMs: VALID_ROW.born,
      service: VALID_ROW.service,
      address: VALID_ROW.addr,
      zone: VALID_ROW.zone,
      slots: VALID_ROW.slots,
      isDraining: false,
      slowStartMs: 0,
      modelVersions: new Map([['model-a', 3]]),
    });
    const { born, ...before } = VALID_ROW;
    expect(parse(before)._unsafeUnwrap().startedAtMs, `not ${born}`).to.equal(undefined);
    expect(parse({ ...VALID_ROW, state: 'draining', later: 1 })._unsafeUnwrap().isDraining).to.equal(true);
  });

  for (const field of REQUIRED)
    it(`rejects a row without ${field}`, () => {
      const { [field]: _, ...rest } = VALID_ROW;
      expect(parse(rest)._unsafeUnwrapErr()).to.contain(field);
    });

  const wrong: readonly [field: keyof typeof VALID_ROW, value: unknown][] = [
    ['service', 7],
    ['addr', 'host.example:80'],
    ['addr', '10.0.0.1'],
    ['addr', '10.0.0.1:99999'],
    ['addr', '10.0.0.1:0'],
    ['addr', '10.0.0.1:8080/path'],
    ['addr', '10.0.0.1:-1'],
    ['addr', '::1:8080'],
    ['addr', '[10.0.0.1]:8080'],
    ['addr', '[fe80::1%eth0]:8080'],
    ['addr', 'user@10.0.0.1:8080'],
    ['service', 'x'.repeat(65_000)],
    ['zone', ''],
    ['slots', 0],
    ['slots', -3],
    ['slots', 2.5],
    ['slots', 1e300],
    ['slots', '6'],
    ['state', 'broken'],
    ['coldLeftMs', -1],
    ['coldLeftMs', 2 ** 31],
    ['born', 1.5],
    ['born', 'yesterday'],
    ['models', [{ name: 'model-a', version: 'x' }]],
    ['models', 7],
  ];
  for (const [field, value] of wrong)
    it(`rejects a row with ${field} ${JSON.stringify(value)}`, () => {
      expect(parse({ ...VALID_ROW, [field]: value })._unsafeUnwrapErr()).to.contain(field);
    });

  for (const address of ['10.0.0.1:1', '10.0.0.1:65535', '[::1]:8080', '[2001:db8::1]:8080'])
    it(`accepts the address ${address}`, () => {
      expect(parse({ ...VALID_ROW, addr: address })._unsafeUnwrap().address).to.equal(address);
    });

  for (const key of ODD_KEYS.filter((key) => !/^[a-z_]{1,200}$/.test(key)))
    it(`rejects a valid row under the key ${JSON.stringify(key)}, which no header field can carry`, () => {
      const value = Buffer.from(JSON.stringify(VALID_ROW), 'utf8');
      expect(parseReplica(key, value)._unsafeUnwrapErr()).to.contain('key');
    });

  for (const [name, value] of ODD_VALUES)
    it(`rejects ${name} with a bounded problem`, () => {
      const problem = parseReplica('r1', value)._unsafeUnwrapErr();
      expect(problem.length).to.be.within(1, 200);
    });

  const deep = `${'['.repeat(30_000)}${']'.repeat(30_000)}`;
  for (const field of [...FIELDS, 'unknown', '__proto__'])
    for (const raw of [deep, '1e400', 'null', '9007199254740993', '-0', '1e308'])
      it(`accepts or rejects ${field} with ${raw.slice(0, 20)} beside valid fields`, () => {
        const { [field as 'seq']: _, ...rest } = VALID_ROW;
        const text = `${JSON.stringify(rest).slice(0, -1)},"${field}":${raw}}`;
        const parsed = parseReplica('r1', Buffer.from(text));
        expect(parsed.isOk()).to.equal(isIgnored(field) || (raw === '-0' && isZeroAllowed(field)));
      });

  it('takes the last of duplicate fields', () => {
    const text = `{"slots":-1,${JSON.stringify(VALID_ROW).slice(1)}`;
    expect(parseReplica('r1', Buffer.from(text))._unsafeUnwrap().slots).to.equal(VALID_ROW.slots);
  });

  it('rejects bytes that are not a JSON object in UTF-8', () => {
    const broken = Buffer.from(JSON.stringify({ ...VALID_ROW, zone: 'zone-?' }), 'utf8');
    broken[broken.indexOf(0x3f)] = 0xff;
    for (const bytes of [broken, Buffer.from([]), Buffer.from('['.repeat(50_000)), Buffer.from('null')])
      expect(parseReplica('r1', bytes).isErr()).to.equal(true);
  });

  it('accepts or rejects arbitrary rows, and never returns a field of the wrong type', () => {
    const damaged = fc.tuple(fc.constantFrom(...FIELDS), arbitraryValue).map(([field, value]) => ({
      ...VALID_ROW,
      [field]: value,
    }));
    const bytes = fc.oneof(
      fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array)),
      fc.oneof(arbitraryValue, damaged).map((row) => Buffer.from(JSON.stringify(row) ?? '', 'utf8')),
    );
    fc.assert(
      fc.property(bytes, (value) => {
        const parsed = parseReplica('r1', value);
        if (parsed.isErr()) return;
        const { slots, address, startedAtMs, modelVersions } = parsed.value;
        expect(Number.isInteger(slots) && slots > 0 && slots <= 10_000).to.equal(true);
        expect(new URL(`http://${address}`).pathname).to.equal('/');
        expect(startedAtMs === undefined || Number.isSafeInteger(startedAtMs)).to.equal(true);
        for (const version of modelVersions.values()) expect(Number.isSafeInteger(version)).to.equal(true);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
