/** The pages name only what exists: files, and in DECISIONS.md functions and constants. */
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { expect } from 'chai';

const ROOT = resolve(import.meta.dirname, '../../..');
const SOURCES = ['src', 'platform'];

function filesUnder(folder: string, ending: string): string[] {
  return readdirSync(join(ROOT, folder)).flatMap((name) => {
    const path = join(folder, name);
    if (statSync(join(ROOT, path)).isDirectory()) return filesUnder(path, ending);
    return name.endsWith(ending) ? [path] : [];
  });
}

const textOf = (path: string) => readFileSync(join(ROOT, path), 'utf8');
const sources = SOURCES.flatMap((folder) => filesUnder(folder, '.ts'));
const pages = ['README.md', 'CONTRIBUTING.md', 'DEVELOPERS.md', ...filesUnder('docs', '.md')];

/** Files named in a page by their path: `src/a/b.ts`, or a part of it such as `service/jobs/item-run.ts`. */
function missingFiles(page: string): string[] {
  const known = [
    ...sources,
    ...['test', 'bench', 'emulator', 'scripts'].flatMap((one) => filesUnder(one, '.ts')),
  ];
  return [...textOf(page).matchAll(/`([A-Za-z0-9_./-]+\.ts)`/g)]
    .map((match) => match[1] as string)
    .filter((path) => !known.some((one) => one === path || one.endsWith(`/${path}`)))
    .map((path) => `${page}: ${path}`);
}

function missingLinks(page: string): string[] {
  return [...textOf(page).matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)]
    .map((match) => match[1] as string)
    .filter((link) => !existsSync(join(ROOT, page, '..', link)))
    .map((link) => `${page}: ${link}`);
}

/** Cells of the tables in DECISIONS.md, row by row, without heads. */
function decisionRows(): string[][] {
  return textOf('docs/DECISIONS.md')
    .split('\n')
    .filter((line) => line.startsWith('| ') && !line.startsWith('| asked'))
    .map((line) =>
      line
        .slice(1, -1)
        .split(' | ')
        .map((cell) => cell.trim()),
    );
}

/** Functions of a cell that their file does not define, and files that do not exist. */
function missingFunctions(cell: string): string[] {
  return [...cell.matchAll(/`([^`]+)` \(`([^`]+\.ts)`/g)].flatMap(([, name = '', path = '']) => {
    const file = sources.find((one) => one === path || one.endsWith(`/${path}`));
    const member = name.split('.').at(-1) ?? name;
    const defines =
      file !== undefined && new RegExp(`class ${member}\\b|\\b${member}\\b\\s*[(=:<{]`).test(textOf(file));
    return defines ? [] : [`${name} in ${path}`];
  });
}

/** Constants of a cell that no source defines. */
function missingConstants(cell: string): string[] {
  const all = sources.map(textOf).join('\n');
  return [...cell.matchAll(/`([A-Z][A-Z0-9_]{3,})`/g)]
    .map((match) => match[1] as string)
    .filter((name) => !new RegExp(`const ${name}\\b`).test(all));
}

/** Pages that a source file's comments name and that do not exist. */
function missingPages(source: string): string[] {
  return [...textOf(source).matchAll(/docs\/[A-Za-z0-9_./-]+\.md/g)]
    .filter(([page]) => !existsSync(join(ROOT, page)))
    .map(([page]) => `${source}: ${page}`);
}

describe('the pages', () => {
  it('name files that exist', () => {
    expect(pages.flatMap(missingFiles)).to.deep.equal([]);
  });

  it('link to pages that exist, and so do the comments of the code', () => {
    expect([...pages.flatMap(missingLinks), ...[...pages, ...sources].flatMap(missingPages)]).to.deep.equal(
      [],
    );
  });

  it('name in DECISIONS.md functions and constants that exist, each row with a function', () => {
    const rows = decisionRows();
    expect(rows.length).to.be.greaterThan(20);
    for (const row of rows) {
      const [question = '', , functions = '', , constants = ''] = row;
      expect(row.length, question).to.equal(6);
      expect(functions, question).to.match(/`[^`]+` \(`[^`]+\.ts`/);
      expect(missingFunctions(functions), question).to.deep.equal([]);
      expect(missingConstants(constants), question).to.deep.equal([]);
    }
  });
});
