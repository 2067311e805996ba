/** Checks untrusted JSON against TypeBox schemas and names every bad field. Never throws. */
import { err, ok, type Result } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { Compile } from 'typebox/compile';

/** One bad field. */
export interface FieldProblem {
  /** Path of the field in dotted form, for example `spec.limits.maxInFlight`. */
  readonly field: string;
  /** What is allowed there. */
  readonly message: string;
}

/** A compiled check of one schema. */
export class Validator<Schema extends TSchema> {
  private readonly compiled;

  constructor(readonly schema: Schema) {
    this.compiled = Compile(schema);
  }

  /** The value with its type, or every bad field. */
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

/** Keywords that only summarize errors of their parts. */
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

/** Paths that an error of the schema is about. */
function fieldsOf(error: SchemaError): string[] {
  const base = dotted(error.instancePath);
  const names = namedFields(error);
  if (names.length === 0) return [base || '(body)'];
  return names.map((name) => (base ? `${base}.${name}` : name));
}

/** One problem for each field: an alternative adds its message, a composite keyword says nothing new. */
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

/** One line for a list of problems. */
export function formatProblems(problems: readonly FieldProblem[]): string {
  return problems.map((problem) => `${problem.field}: ${problem.message}`).join('; ');
}
