/**
 * Parses stored JSON records against a schema. Never throws: another process may have written anything. The
 * error says what is wrong; its length is bounded. Unknown fields are kept, since a later build may add some.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { formatProblems, Validator } from '../../protocol/validation.js';

/** Deeper values could overflow the stack where they are written again. */
const MAX_DEPTH = 64;
/** Maximum length of a described problem, characters. */
const MAX_PROBLEM_LENGTH = 200;

const utf8 = new TextDecoder('utf-8', { fatal: true });

function childrenOf(value: unknown): unknown[] {
  return typeof value === 'object' && value !== null ? Object.values(value) : [];
}

/** Whether a value nests lists and objects deeper than `MAX_DEPTH`. Does not recurse. */
function isTooDeep(value: unknown): boolean {
  let level = [value];
  for (let depth = 0; level.length > 0; depth += 1) {
    if (depth > MAX_DEPTH) return true;
    level = level.flatMap(childrenOf);
  }
  return false;
}

function parseJson(value: Buffer): Result<unknown, string> {
  try {
    const content: unknown = JSON.parse(utf8.decode(value));
    return isTooDeep(content) ? err(`nested deeper than ${MAX_DEPTH}`) : ok(content);
  } catch {
    return err('not JSON in UTF-8');
  }
}

export class RecordFormat<Schema extends TSchema> {
  private readonly validator: Validator<Schema>;

  constructor(schema: Schema) {
    this.validator = new Validator(schema);
  }

  /** Returns the typed content of a record, or what is wrong with it. */
  parse(value: Buffer): Result<Static<Schema>, string> {
    return parseJson(value).andThen((content) =>
      this.validator
        .check(content)
        .mapErr((problems) => formatProblems(problems).slice(0, MAX_PROBLEM_LENGTH)),
    );
  }
}
