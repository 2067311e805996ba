/** Reads resource declarations from YAML and JSON files and validates them without contacting a node. */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { parseAllDocuments } from 'yaml';
import { checkManifest, type Manifest } from '../protocol/resource/manifest.js';
import { READ_ONLY_KINDS, resourceKey } from '../protocol/resource/resource.js';
import type { FieldProblem } from '../protocol/validation.js';

export interface Declaration {
  /** Path of the file, with the number of the document if it is not the first. */
  readonly file: string;
  readonly manifest: Manifest;
}

export interface DeclarationProblem extends FieldProblem {
  readonly file: string;
}

const EXTENSIONS = ['.yaml', '.yml', '.json'];

function findFiles(path: string): string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path)
    .sort()
    .flatMap((name) => {
      const child = join(path, name);
      if (statSync(child).isDirectory()) return findFiles(child);
      return EXTENSIONS.some((extension) => name.endsWith(extension)) ? [child] : [];
    });
}

function readDocuments(file: string): Result<unknown[], DeclarationProblem[]> {
  const documents = parseAllDocuments(readFileSync(file, 'utf8'));
  const list = Array.isArray(documents) ? documents : [];
  const errors = list.flatMap((one) => one.errors);
  if (errors.length > 0) return err(errors.map((one) => ({ file, field: '(file)', message: one.message })));
  return ok(list.map((one) => one.toJS() as unknown).filter((one) => one !== null));
}

function checkDocument(
  file: string,
  index: number,
  document: unknown,
): Result<Declaration, DeclarationProblem[]> {
  const position = index === 0 ? file : `${file} (document ${index + 1})`;
  const checked = checkManifest(document);
  if (checked.isErr()) return err(checked.error.map((one) => ({ ...one, file: position })));
  if (READ_ONLY_KINDS.includes(checked.value.kind)) {
    return err([
      { file: position, field: 'kind', message: `${checked.value.kind} is written by the system only` },
    ]);
  }
  return ok({ file: position, manifest: checked.value });
}

/** Reads all declarations under the given paths. The error lists every problem in every file. */
export function loadDeclarations(paths: readonly string[]): Result<Declaration[], DeclarationProblem[]> {
  const problems: DeclarationProblem[] = [];
  const declarations: Declaration[] = [];
  for (const file of paths.flatMap(listFiles(problems))) {
    const documents = readDocuments(file);
    if (documents.isErr()) {
      problems.push(...documents.error);
      continue;
    }
    for (const [index, document] of documents.value.entries()) {
      const checked = checkDocument(file, index, document);
      if (checked.isErr()) problems.push(...checked.error);
      else declarations.push(checked.value);
    }
  }
  problems.push(...findDuplicates(declarations));
  return problems.length > 0 ? err(problems) : ok(declarations);
}

function listFiles(problems: DeclarationProblem[]) {
  return (path: string): string[] => {
    try {
      return findFiles(path);
    } catch (cause) {
      problems.push({ file: path, field: '(file)', message: (cause as Error).message });
      return [];
    }
  };
}

function findDuplicates(declarations: readonly Declaration[]): DeclarationProblem[] {
  const seen = new Map<string, string>();
  return declarations.flatMap(({ file, manifest }) => {
    const key = resourceKey(manifest.kind, manifest.metadata.name);
    const earlier = seen.get(key);
    seen.set(key, file);
    return earlier
      ? [{ file, field: 'metadata.name', message: `${key} is already declared in ${earlier}` }]
      : [];
  });
}
