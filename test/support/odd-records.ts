/** Values and keys of records that no writer of ours leaves, for tests of what reads them. */

const DEPTH = 30_000;
const RECORD_BYTES = 60_000;
const deepArray = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
const DEEP_OBJECT_DEPTH = 8_000;
const deepObject = `${'{"a":'.repeat(DEEP_OBJECT_DEPTH)}1${'}'.repeat(DEEP_OBJECT_DEPTH)}`;

const text = (value: string): Buffer => Buffer.from(value, 'utf8');

/** Fields that records of some table have, each with a value of a wrong type or out of range. */
function withField(field: string, value: string): string {
  return `{"${field}":${value}}`;
}

/** Values with a name each. */
export const ODD_VALUES: readonly (readonly [name: string, value: Buffer])[] = [
  ['an empty value', Buffer.of()],
  ['null', text('null')],
  ['a number', text('5')],
  ['a number that is too large', text('1e400')],
  ['a string', text('"text"')],
  ['true', text('true')],
  ['a list', text('[]')],
  ['a list with null', text('[null]')],
  ['an empty object', text('{}')],
  ['text that is not JSON', text('not JSON')],
  ['an unfinished list', text('['.repeat(RECORD_BYTES))],
  ['bytes that are not UTF-8', Buffer.from([0xff, 0xfe, 0x00, 0x22])],
  ['a deep list', text(deepArray)],
  ['a deep object', text(deepObject)],
  ['a deep value in a known field', text(withField('owner', deepObject))],
  ['a deep value in an unknown field', text(withField('unknown', deepArray))],
  ['a long string', text(JSON.stringify('x'.repeat(RECORD_BYTES)))],
  ['a long name', text(withField('service', JSON.stringify('x'.repeat(RECORD_BYTES))))],
  ['fields twice', text('{"version":1,"version":"x","owner":null,"owner":7}')],
  ['a prototype', text('{"__proto__":{"holder":{"node":"x"}},"constructor":7}')],
  [
    'fields of wrong types',
    text(
      JSON.stringify({
        holder: null,
        life: 7,
        owner: {},
        state: 'open',
        counts: null,
        events: 7,
        address: 7,
        peerAddress: 7,
        announcedAtMs: 'x',
        recent: 7,
        model: 7,
        version: {},
      }),
    ),
  ],
  [
    'numbers out of range',
    text(
      `{"state":"open","owner":null,"epoch":1e400,"holder":{"node":"x","life":"y"},"acts":-1,"validMs":1e308,
        "life":"x","atMs":1e308,"address":"h:99999","peerAddress":"127.0.0.1:99999","announcedAtMs":1e308,"capacity":-0,
        "counts":{"t":1e400},"model":"model-a","version":1e300,"tokens":-1,"total":1.5,"chunks":1e308,"acceptedAtMs":1e400}`,
    ),
  ],
];

/** Keys under which even a valid record is odd. */
export const ODD_KEYS: readonly string[] = [
  '',
  'x'.repeat(200),
  'line\nfeed',
  'nul\u0000',
  'escape\u001b[2J',
  'ä€\u{1f600}',
  '__proto__',
  'constructor',
];

/** Texts that are no `IP:PORT`, though a part of each is. */
export const ODD_ADDRESSES: readonly string[] = [
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  '127.0.0.1:-1',
  '127.0.0.1',
  '::1:8080',
  '[127.0.0.1]:8080',
  '[fe80::1%eth0]:8080',
  'host.example:8080',
  '127.0.0.1:80/path',
  '1e9:80',
];
