/** A parsed YAML list that can tell the position of each field. */
import {
  type Document,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  type Pair,
  parseDocument,
  visit,
} from "yaml";
import type { ListIssue, ListPath, ListPosition } from "./list_issue.ts";
import type { ListName } from "../../types/enums.ts";
import { maxListLength } from "./list_schema.ts";

const maxAliasCount = 100;

/** One list with its positions and its faults of syntax. */
export class ListDocument {
  readonly listName: ListName;
  readonly syntaxIssues: ListIssue[] = [];
  readonly #lineCounter = new LineCounter();
  readonly #document: Document.Parsed;

  constructor(listName: ListName, text: string) {
    this.listName = listName;
    const isTooLong = text.length > maxListLength;
    this.#document = parseDocument(isTooLong ? "" : text, {
      lineCounter: this.#lineCounter,
      uniqueKeys: false,
      prettyErrors: false,
    });
    if (isTooLong) this.#addTooLong(text.length);
    else this.#collectSyntaxIssues();
  }

  /** The value of the whole list; undefined when it can't be read. */
  toValue(): unknown {
    if (this.#document.errors.length > 0) return undefined;
    return this.#document.toJS({ maxAliasCount });
  }

  /** The position of a field's value, or of the nearest field above it. */
  positionOf(path: ListPath): ListPosition {
    for (let length = path.length; length > 0; length--) {
      const node = this.#document.getIn(path.slice(0, length), true);
      const range = (node as { range?: [number, number, number] })?.range;
      if (range !== undefined) return this.#positionAt(range[0]);
    }
    return { line: 1, column: 1 };
  }

  /** The position of a key; that of its value when the key isn't found. */
  keyPositionOf(path: ListPath): ListPosition {
    const parent = path.length === 1
      ? this.#document.contents
      : this.#document.getIn(path.slice(0, -1), true);
    if (!isMap(parent)) return this.positionOf(path);
    const pair = parent.items.find((item) => keyOf(item) === path.at(-1));
    return pair === undefined
      ? this.positionOf(path)
      : this.#positionOfKey(pair);
  }

  /** The value at a path as JSON; undefined when there is none. */
  tryRender(path: ListPath): string | undefined {
    const node = path.length === 0
      ? this.#document.contents
      : this.#document.getIn(path, true);
    if (node === undefined || node === null) return undefined;
    if (isScalar(node)) return JSON.stringify(node.value);
    if (isMap(node)) return "a mapping";
    return isSeq(node) ? "a sequence" : "an alias";
  }

  #collectSyntaxIssues(): void {
    for (const error of this.#document.errors) {
      this.syntaxIssues.push(
        this.#createIssue([], {
          ...this.#positionAt(error.pos[0]),
          problem: `not readable as YAML (${error.message})`,
        }),
      );
    }
    visit(this.#document, {
      Map: (_key, map, ancestors) => {
        map.items = this.#dropRepeatedKeys(map.items, pathOf(ancestors));
      },
    });
  }

  /** Keeps the first of each key, so that its value is checked as well. */
  #dropRepeatedKeys(items: Pair[], parentPath: ListPath): Pair[] {
    const firstByKey = new Map<string, Pair>();
    for (const pair of items) {
      const key = keyOf(pair);
      const first = firstByKey.get(key);
      if (first === undefined) {
        firstByKey.set(key, pair);
        continue;
      }
      const firstLine = this.#positionOfKey(first).line;
      this.syntaxIssues.push(
        this.#createIssue([...parentPath, key], {
          ...this.#positionOfKey(pair),
          problem: `named twice, first on line ${firstLine}; allowed: once`,
        }),
      );
    }
    return [...firstByKey.values()];
  }

  #addTooLong(length: number): void {
    const problem = `the text has ${length} characters; ` +
      `allowed: at most ${maxListLength} characters`;
    this.syntaxIssues.push(
      this.#createIssue([], { line: 1, column: 1, problem }),
    );
  }

  #createIssue(
    path: ListPath,
    facts: ListPosition & { readonly problem: string },
  ): ListIssue {
    const { listName } = this;
    return { listName, path, value: undefined, unit: undefined, ...facts };
  }

  #positionOfKey(pair: Pair): ListPosition {
    const range = (pair.key as { range?: [number, number, number] }).range;
    return this.#positionAt(range?.[0] ?? 0);
  }

  #positionAt(offset: number): ListPosition {
    const { line, col } = this.#lineCounter.linePos(offset);
    return { line, column: col };
  }
}

function keyOf(pair: Pair): string {
  return String(isScalar(pair.key) ? pair.key.value : pair.key);
}

/** The keys on the way down to a node. */
function pathOf(ancestors: readonly unknown[]): ListPath {
  return ancestors
    .filter((node): node is Pair =>
      typeof node === "object" && node !== null && "key" in node &&
      "value" in node
    )
    .map(keyOf);
}
