/**
 * Schemas of the resources that operators declare. Types, validation and `docs/RESOURCES.md` are derived from
 * them; the page follows the order of this file.
 */
import Type, { type Static, type TSchema } from 'typebox';

const NAME_PATTERN = '^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$';
const ADDRESS_PATTERN = '^http://[0-9a-zA-Z.\\[\\]:-]+:[0-9]{1,5}$';
const CLOSED = { additionalProperties: false } as const;

const Name = (description: string) => Type.String({ pattern: NAME_PATTERN, description });
const Zones = (description: string) => Type.Array(Name('Zone.'), { description });

const ServiceSpec = Type.Object(
  {
    type: Type.Union([Type.Literal('model'), Type.Literal('application')], {
      description: 'Whether the back ends are model engines or application services.',
    }),
    residency: Type.Optional(Zones('Zones whose back ends may take the work. Default: every zone.')),
    repeatable: Type.Boolean({
      description: 'Whether a request may run more than once. When false, each request runs at most once.',
    }),
    priority: Type.Optional(
      Type.Integer({
        minimum: 0,
        maximum: 9,
        description: 'Priority given to engines; 9 is served first. Default 5.',
      }),
    ),
    limits: Type.Optional(
      Type.Object(
        {
          maxInFlight: Type.Optional(
            Type.Integer({
              minimum: 1,
              description: 'Requests that one node has in flight at most. Default 1024.',
            }),
          ),
          maxInFlightPerCaller: Type.Optional(
            Type.Integer({
              minimum: 1,
              description: 'Requests of one caller in flight on one node at most. Default 256.',
            }),
          ),
          maxBodyBytes: Type.Optional(
            Type.Integer({ minimum: 0, description: 'Largest request body, bytes. Default 1048576.' }),
          ),
          timeoutMs: Type.Optional(
            Type.Integer({
              minimum: 1,
              description: 'Longest time for a request, milliseconds. Default 30000.',
            }),
          ),
        },
        CLOSED,
      ),
    ),
    onStaleConfiguration: Type.Optional(
      Type.Union([Type.Literal('refuse'), Type.Literal('serve')], {
        description: 'What a node does whose configuration is not confirmed. Default refuse.',
      }),
    ),
  },
  CLOSED,
);

const BackendSpec = Type.Object(
  {
    service: Name('Service that it belongs to.'),
    address: Type.String({
      pattern: ADDRESS_PATTERN,
      description: 'Base URL, for example http://10.0.0.7:9000.',
    }),
    zone: Name('Zone that it stands in.'),
    machine: Type.Optional(
      Type.String({ description: 'Machine that it runs on, as the machine list names it.' }),
    ),
    model: Type.Optional(
      Name(
        'Model that an engine is to serve, in a service with several models. Default: the one model of the service.',
      ),
    ),
    maxInFlight: Type.Optional(
      Type.Integer({ minimum: 1, description: 'Requests that one node sends it at a time. Default 64.' }),
    ),
    draining: Type.Optional(
      Type.Boolean({ description: 'When true it receives no new work. Default false.' }),
    ),
    drainReason: Type.Optional(Type.String({ description: 'Why it is drained; shown by explain.' })),
  },
  CLOSED,
);

const ModelSpec = Type.Object(
  {
    service: Name('Service whose engines serve the model.'),
    requireApproval: Type.Optional(
      Type.Boolean({ description: 'Whether a version must be approved before it is loaded. Default false.' }),
    ),
    residency: Type.Optional(Zones('Zones whose engines may load the model. Default: every zone.')),
    pinnedVersion: Type.Optional(
      Type.Integer({ minimum: 0, description: 'Version to serve. Default: the newest that may be served.' }),
    ),
    maxUnavailableFraction: Type.Optional(
      Type.Number({
        minimum: 0,
        maximum: 1,
        description: 'Share of engines that may swap at a time. Default 0.34.',
      }),
    ),
    slices: Type.Optional(
      Type.Integer({
        minimum: 1,
        maximum: 1024,
        description: 'Independent owners of weight orders. Default 1.',
      }),
    ),
  },
  CLOSED,
);

const Approval = Type.Object(
  {
    by: Type.String({ description: 'Identity of the approver.' }),
    at: Type.String({ description: 'Wall time, ISO 8601.' }),
    note: Type.Optional(Type.String()),
  },
  CLOSED,
);

const ModelVersionSpec = Type.Object(
  {
    model: Name('Model that it is a version of.'),
    version: Type.Integer({ minimum: 0, description: 'Version number; a larger one is newer.' }),
    weights: Type.Object(
      {
        object: Type.String({ minLength: 1, description: 'Name in the weight store.' }),
        digest: Type.Optional(Type.String({ description: 'SHA-256 of the weights, hex.' })),
      },
      CLOSED,
    ),
    approvals: Type.Optional(Type.Array(Approval, { description: 'Set only by approvers.' })),
  },
  CLOSED,
);

const TrainerSpec = Type.Object(
  {
    models: Type.Array(Name('Model.'), { minItems: 1, description: 'Models that it may draw samples of.' }),
    stalenessBound: Type.Integer({
      minimum: 0,
      description: 'Versions that a delivered sample may lag behind the newest one, at most.',
    }),
    preference: Type.Optional(
      Type.Union([Type.Literal('idle-time'), Type.Literal('staleness')], {
        description: 'What weighs more when both cannot be had. Default idle-time.',
      }),
    ),
    batchSize: Type.Optional(
      Type.Integer({ minimum: 1, maximum: 512, description: 'Samples in one draw at most. Default 64.' }),
    ),
    residency: Type.Optional(Zones('Zones whose engines may produce its samples. Default: every zone.')),
    shards: Type.Optional(
      Type.Integer({ minimum: 1, maximum: 256, description: 'Owners that share its generation. Default 1.' }),
    ),
    concurrency: Type.Optional(
      Type.Integer({
        minimum: 1,
        maximum: 4096,
        description: 'Samples generated at a time by one owner. Default 128.',
      }),
    ),
  },
  CLOSED,
);

export const ROLES = ['operator', 'approver', 'trainer', 'caller', 'peer'] as const;
export type Role = (typeof ROLES)[number];

export const TokenGrant = Type.Object(
  {
    identity: Type.String({ minLength: 1, description: 'Who presents the token.' }),
    tokenSha256: Type.String({
      pattern: '^[0-9a-f]{64}$',
      description: 'SHA-256 of the token, lower-case hex.',
    }),
    roles: Type.Array(Type.Enum([...ROLES]), { minItems: 1, description: 'What the bearer may do.' }),
    trainer: Type.Optional(Name('Trainer that the token speaks for (role trainer).')),
  },
  CLOSED,
);
export type TokenGrant = Static<typeof TokenGrant>;

const AccessPolicySpec = Type.Object(
  { tokens: Type.Array(TokenGrant, { description: 'Bearer tokens, as hashes, and what each may do.' }) },
  CLOSED,
);

const MachineSpec = Type.Object(
  {
    zone: Name('Zone that it stands in.'),
    state: Type.Union([Type.Literal('live'), Type.Literal('leaving'), Type.Literal('gone')], {
      description: 'As the platform lists it. Back ends on a machine that is not live receive no new work.',
    }),
  },
  CLOSED,
);

/** Schema of the spec of each kind that is stored in the configuration. */
export const STORED_KINDS = {
  Service: ServiceSpec,
  Backend: BackendSpec,
  Model: ModelSpec,
  ModelVersion: ModelVersionSpec,
  Trainer: TrainerSpec,
  AccessPolicy: AccessPolicySpec,
  Machine: MachineSpec,
} as const satisfies Record<string, TSchema>;

export type Kind = keyof typeof STORED_KINDS;
export const KINDS = Object.keys(STORED_KINDS) as Kind[];
/** Kinds written only by the system. */
export const READ_ONLY_KINDS: readonly Kind[] = ['Machine'];
/** Kind that is read from the sample ledger and not stored in the configuration. */
export const ROLLOUT_KIND = 'Rollout';

export const API_VERSION = 'thymecove/v1';

const Labels = Type.Record(Type.String({ pattern: '^.{1,128}$' }), Type.String({ maxLength: 256 }));

/** Schema of a resource as an operator writes it; server-set fields are accepted and optional. */
const manifestOf = <K extends Kind>(kind: K) =>
  Type.Object(
    {
      apiVersion: Type.Literal(API_VERSION),
      kind: Type.Literal(kind),
      metadata: Type.Object(
        {
          name: Name('Name, unique within the kind.'),
          labels: Type.Optional(Labels),
          resourceVersion: Type.Optional(Type.Integer({ minimum: 0 })),
          generation: Type.Optional(Type.Integer()),
          source: Type.Optional(Type.String()),
          set: Type.Optional(Type.String()),
        },
        CLOSED,
      ),
      spec: STORED_KINDS[kind],
      status: Type.Optional(Type.Unknown()),
    },
    CLOSED,
  );

export const ManifestSchemas = {
  Service: manifestOf('Service'),
  Backend: manifestOf('Backend'),
  Model: manifestOf('Model'),
  ModelVersion: manifestOf('ModelVersion'),
  Trainer: manifestOf('Trainer'),
  AccessPolicy: manifestOf('AccessPolicy'),
  Machine: manifestOf('Machine'),
} as const;

export type SpecOf<K extends Kind> = Static<(typeof STORED_KINDS)[K]>;

export interface Metadata {
  readonly name: string;
  readonly labels?: Record<string, string>;
  /** Configuration revision of the last change. */
  readonly resourceVersion: number;
  /** Incremented by each change of the spec. */
  readonly generation: number;
  /** Revision of the source tree that contains the declaration. */
  readonly source?: string;
  /** Name of the set of declarations, used for pruning. */
  readonly set?: string;
}

/** A stored resource of one kind. */
export interface ResourceOf<K extends Kind> {
  readonly apiVersion: typeof API_VERSION;
  readonly kind: K;
  readonly metadata: Metadata;
  readonly spec: SpecOf<K>;
}

/** A stored resource of any kind. */
export type Resource = { [K in Kind]: ResourceOf<K> }[Kind];

export interface Condition {
  readonly type: string;
  readonly status: 'True' | 'False' | 'Unknown';
  readonly reason: string;
  readonly message: string;
}

/** Computed by the responding node; not stored. */
export interface ResourceStatus {
  readonly observedGeneration: number;
  readonly conditions: readonly Condition[];
}

export function resourceKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
