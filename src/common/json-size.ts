/** Measures a JSON text before it is parsed, since its values take up to fifty times the memory of their text. */

/** Structure of a text. Meaningless for a text that is not JSON. */
export interface JsonSize {
  /** Objects and lists. */
  readonly containers: number;
  /** Members of objects and elements of lists, at least. */
  readonly members: number;
  /** Most containers within each other. */
  readonly depth: number;
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;
const OPEN_LIST = 0x5b;
const CLOSE_LIST = 0x5d;

/** Memory of parsed values beside the text of their strings, bytes; from heap sizes of V8. */
const CONTAINER_BYTES = 96;
const MEMBER_BYTES = 24;

/** Index after the string that begins at `start`, or the end of the text. */
function endOfString(text: Buffer, start: number): number {
  for (let quote = text.indexOf(QUOTE, start + 1); quote >= 0; quote = text.indexOf(QUOTE, quote + 1)) {
    let escapes = 0;
    while (text[quote - 1 - escapes] === BACKSLASH) escapes += 1;
    if (escapes % 2 === 0) return quote + 1;
  }
  return text.length;
}

/** Counts the structural characters of a text. */
class StructureCounter {
  containers = 0;
  commas = 0;
  depth = 0;
  private open = 0;

  add(byte: number | undefined): void {
    switch (byte) {
      case COMMA:
        this.commas += 1;
        break;
      case OPEN_OBJECT:
      case OPEN_LIST:
        this.containers += 1;
        this.open += 1;
        this.depth = Math.max(this.depth, this.open);
        break;
      case CLOSE_OBJECT:
      case CLOSE_LIST:
        this.open -= 1;
    }
  }
}

export function measureJson(text: Buffer): JsonSize {
  const counter = new StructureCounter();
  for (let index = 0; index < text.length; index += 1)
    if (text[index] === QUOTE) index = endOfString(text, index) - 1;
    else counter.add(text[index]);
  const { containers, commas, depth } = counter;
  return { containers, members: commas + containers, depth };
}

/** Memory for parsing a text of `textBytes`, bytes: the text as a string, its strings, and its values. */
export function parsedJsonBytes({ containers, members }: JsonSize, textBytes: number): number {
  return 2 * textBytes + containers * CONTAINER_BYTES + members * MEMBER_BYTES;
}
