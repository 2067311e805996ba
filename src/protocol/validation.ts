/** Validates untrusted JSON against TypeBox schemas and reports every invalid field. Never throws. */
import { err, ok, type Result } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { Compile } from 'typebox/compile';

export interface FieldProblem {
  /** Dotted path, for example `spec.limits.maxInFlight`. */
  readonly field: string;
  /** What is allowed in the field. */
  readonly message: string;
}

export class Validator<Schema extends TSchema> {
  private readonly compiled;

  constructor(readonly schema: Schema) {
    this.compiled = Compile(schema);
  }

  /** Returns the typed value, or every invalid field. */
  check(value: unknown): Result<Static<Schema>, FieldProblem[]> {
    if (this.compiled.Check(value)) return ok(value as Static<Schema>);
    return err(collectProblems(this.compiled.Errors(value) as SchemaError[]));
  }
}

interface SchemaError {
  readonly keyword: string;
  readonly instancePath: string;
  readonly message: string;
  readonly params: Record<string, unknown>;
}

/** Keywords whose errors only summarize those of their subschemas. */
const COMPOSITE_KEYWORDS = new Set(['anyOf', 'oneOf', 'not', 'if']);

function dotted(instancePath: string): string {
  return instancePath.split('/').filter(Boolean).join('.');
}

function namedFields(error: SchemaError): string[] {
  const names = error.params.requiredProperties ?? error.params.additionalProperties;
  return Array.isArray(names) ? (names as string[]) : [];
}

function describe(error: SchemaError): string {
  if (error.keyword === 'required') return 'is required';
  if (error.keyword === 'additionalProperties') return 'is not a known field';
  const allowed = error.params.allowedValues ?? error.params.allowedValue;
  return allowed === undefined ? error.message : `must be one of ${JSON.stringify(allowed)}`;
}

/** Paths of the fields that an error refers to. */
function fieldsOf(error: SchemaError): string[] {
  const base = dotted(error.instancePath);
  const names = namedFields(error);
  if (names.length === 0) return [base || '(body)'];
  return names.map((name) => (base ? `${base}.${name}` : name));
}

/** Merges the errors of each field into one problem. Further errors of composite keywords are dropped. */
function collectProblems(errors: readonly SchemaError[]): FieldProblem[] {
  const messages = new Map<string, string>();
  for (const error of errors)
    for (const field of fieldsOf(error)) {
      const known = messages.get(field);
      const message = describe(error);
      if (known === undefined) messages.set(field, message);
      else if (!COMPOSITE_KEYWORDS.has(error.keyword) && !known.includes(message))
        messages.set(field, `${known}, or ${message}`);
    }
  return [...messages].map(([field, message]) => ({ field, message }));
}

export function formatProblems(problems: readonly FieldProblem[]): string {
  return problems.map((problem) => `${problem.field}: ${problem.message}`).join('; ');
}
