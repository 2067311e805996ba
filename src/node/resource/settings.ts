/**
 * Settings of a node: a YAML file, with flags over it. They are checked whole before anything is opened;
 * every bad field is named with its path and what is allowed.
 */
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { parse } from 'yaml';
import { sha256Hex } from '../../common/identifier.js';
import { TokenGrant } from '../../protocol/resource/resource.js';
import { type FieldProblem, Validator } from '../../protocol/validation.js';

const CLOSED = { additionalProperties: false } as const;
const Milliseconds = (description: string, minimum = 1) =>
  Type.Optional(Type.Integer({ minimum, description }));
const ADDRESS = '^http://[0-9a-zA-Z.\\[\\]:-]+:[0-9]{1,5}';
const BaseUrl = (description: string) => Type.String({ pattern: `${ADDRESS}$`, description });
const ServiceUrl = (description: string) =>
  Type.String({ pattern: `${ADDRESS}(/[^?#]*[^/?#])?$`, description });

export const SettingsSchema = Type.Object(
  {
    node: Type.Object(
      {
        id: Type.String({ pattern: '^[a-z0-9][a-z0-9-]{0,62}$', description: 'Name of the node, unique.' }),
        zone: Type.String({ pattern: '^[a-z0-9][a-z0-9.-]{0,62}$', description: 'Zone that it stands in.' }),
        machine: Type.Optional(Type.String({ description: 'Its machine, as the machine list names it.' })),
      },
      CLOSED,
    ),
    listen: Type.Object(
      {
        host: Type.String({ minLength: 1, description: 'IP address to listen on.' }),
        port: Type.Integer({
          minimum: 0,
          maximum: 65_535,
          description: 'Port to listen on; 0 takes a free one.',
        }),
        advertise: Type.Optional(BaseUrl('Base URL under which peers reach it. Default: host and port.')),
        outboundHost: Type.Optional(
          Type.String({
            minLength: 1,
            description: 'IP address of outgoing connections. Default: chosen by the system.',
          }),
        ),
      },
      CLOSED,
    ),
    platform: Type.Object(
      {
        store: BaseUrl('Base URL of the store that keeps everything that must last.'),
        machines: Type.Optional(ServiceUrl('Base URL of the machine list. Default: not watched.')),
        callsPerSecond: Type.Optional(
          Type.Number({
            exclusiveMinimum: 0,
            description: "This node's share of the platform's rate. Default 200.",
          }),
        ),
      },
      CLOSED,
    ),
    access: Type.Object(
      {
        peerToken: Type.String({ minLength: 16, description: 'Token that nodes present to each other.' }),
        tokens: Type.Array(TokenGrant, { description: 'Bearer tokens, as hashes, and what each may do.' }),
      },
      CLOSED,
    ),
    timing: Type.Optional(
      Type.Object(
        {
          freshnessMs: Milliseconds('How long a confirmation of the configuration lasts. Default 4000.', 100),
          holdMs: Milliseconds(
            'How long the store may hold the answer to a question for changes. Default 1000.',
            10,
          ),
          nodeBeatMs: Milliseconds('Time between two writes of the record of this node. Default 5000.', 10),
          nodeExpiryMs: Milliseconds('Silence after which a node is taken for dead. Default 15000.', 10),
          leaseMs: Milliseconds('How long a lease holder may be silent. Default 6000.', 100),
          enginePollMs: Milliseconds('Time between two questions to an engine. Default 500.', 10),
          machinePollMs: Milliseconds('Time between two reads of the machine list. Default 1000.', 10),
        },
        CLOSED,
      ),
    ),
    routing: Type.Optional(
      Type.Object(
        {
          subsetSize: Type.Optional(
            Type.Integer({
              minimum: 2,
              description: 'Back ends of a service that this node uses. Default 64.',
            }),
          ),
        },
        CLOSED,
      ),
    ),
    log: Type.Optional(
      Type.Union([Type.Literal('stderr'), Type.Literal('silent')], {
        description: 'Where log lines go. Default stderr.',
      }),
    ),
    seed: Type.Optional(Type.Integer({ description: 'Seed of random choices. Default: from the clock.' })),
  },
  CLOSED,
);

/** Checked settings. */
export type Settings = Static<typeof SettingsSchema>;

const validator = new Validator(SettingsSchema);

/** Flags that go over the settings file, by the path of the setting. */
export type SettingOverrides = Readonly<Record<string, string | number | readonly string[] | undefined>>;

/** Default times, milliseconds. */
export const DEFAULT_TIMING = {
  freshnessMs: 4_000,
  holdMs: 1_000,
  nodeBeatMs: 5_000,
  nodeExpiryMs: 15_000,
  leaseMs: 6_000,
  enginePollMs: 500,
  machinePollMs: 1_000,
} as const;

/** Times of a node, milliseconds. */
export type Timing = Readonly<Record<keyof typeof DEFAULT_TIMING, number>>;

/** The times of a node: those of the settings over the defaults. */
export function timingOf(settings: Settings): Timing {
  return { ...DEFAULT_TIMING, ...settings.timing };
}

/** The grant by which nodes know each other. */
export function peerGrant(settings: Settings): TokenGrant {
  return { identity: 'peer', tokenSha256: sha256Hex(settings.access.peerToken), roles: ['peer'] };
}

type Tree = Record<string, unknown>;

function setPath(tree: Tree, path: string, value: unknown): void {
  const names = path.split('.');
  const last = names.pop() as string;
  let at = tree;
  for (const name of names) {
    if (typeof at[name] !== 'object' || at[name] === null) at[name] = {};
    at = at[name] as Tree;
  }
  at[last] = value;
}

/** Checks settings that were read. */
export function checkSettings(tree: unknown): Result<Settings, FieldProblem[]> {
  return validator.check(tree).andThen(checkTimes);
}

/** A node is taken for dead only when its configuration can no longer be confirmed. */
function checkTimes(settings: Settings): Result<Settings, FieldProblem[]> {
  const { nodeExpiryMs, freshnessMs } = timingOf(settings);
  if (nodeExpiryMs > freshnessMs) return ok(settings);
  return err([
    { field: 'timing.nodeExpiryMs', message: `must be above timing.freshnessMs (${freshnessMs})` },
  ]);
}

/** Reads a settings file, lays the flags over it and checks the whole. */
export function loadSettings(file: string, overrides: SettingOverrides): Result<Settings, FieldProblem[]> {
  let tree: unknown;
  try {
    tree = parse(readFileSync(file, 'utf8'));
  } catch (cause) {
    return err([{ field: '(file)', message: (cause as Error).message }]);
  }
  if (typeof tree !== 'object' || tree === null)
    return err([{ field: '(file)', message: 'must be a YAML mapping' }]);
  for (const [path, value] of Object.entries(overrides)) {
    if (value !== undefined) setPath(tree as Tree, path, value);
  }
  const checked = checkSettings(tree);
  return checked.isOk() ? ok(checked.value) : err(checked.error);
}
