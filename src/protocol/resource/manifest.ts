/** Validation of declared resources, identical offline (`validate`) and on the server. */
import { err, ok, type Result } from 'neverthrow';
import { type FieldProblem, Validator } from '../validation.js';
import { KINDS, type Kind, ManifestSchemas, type Metadata, type Resource } from './resource.js';

/** A validated resource declaration; metadata set by the server may be missing. */
export type Manifest = Omit<Resource, 'metadata'> & {
  readonly metadata: Pick<Metadata, 'name' | 'labels'> & Partial<Metadata>;
};

const validators: Record<Kind, Validator<(typeof ManifestSchemas)[Kind]>> = Object.fromEntries(
  KINDS.map((kind) => [kind, new Validator(ManifestSchemas[kind])]),
) as never;

function kindOf(value: unknown): unknown {
  return typeof value === 'object' && value !== null ? (value as { kind?: unknown }).kind : undefined;
}

export function isKind(kind: unknown): kind is Kind {
  return typeof kind === 'string' && (KINDS as string[]).includes(kind);
}

/** Validates one document against the schema of its kind. */
export function checkManifest(value: unknown): Result<Manifest, FieldProblem[]> {
  const kind = kindOf(value);
  if (!isKind(kind)) return err([{ field: 'kind', message: `must be one of ${KINDS.join(', ')}` }]);
  const checked = validators[kind].check(value);
  if (checked.isErr()) return err(checked.error);
  return ok(checked.value as unknown as Manifest);
}
