/** Parses a list as YAML and locates its fields in the text. */
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

/** A parsed list, with the issues of its syntax and of the length of its text. */
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
    if (isTooLong) this.#addLengthIssue(text.length);
    else this.#collectSyntaxIssues();
  }

  /** Returns the value of the whole list; undefined if its syntax is invalid. */
  toValue(): unknown {
    if (this.#document.errors.length > 0) return undefined;
    return this.#document.toJS({ maxAliasCount });
  }

  /** Returns the position of a field's value; if it is missing, that of its closest existing ancestor. */
  positionOf(path: ListPath): ListPosition {
    for (let length = path.length; length > 0; length--) {
      const node = this.#document.getIn(path.slice(0, length), true);
      const range = (node as { range?: [number, number, number] })?.range;
      if (range !== undefined) return this.#positionAt(range[0]);
    }
    return { line: 1, column: 1 };
  }

  /** Returns the position of a key; if it is missing, that of its closest existing ancestor. */
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

  /** Formats the value at a path for a message, scalars as JSON; undefined if there is none. */
  tryFormatValue(path: ListPath): string | undefined {
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
        map.items = this.#removeDuplicateKeys(map.items, pathOf(ancestors));
      },
    });
  }

  /** Keeps the first occurrence of each key, so that its value is still checked, and reports the others. */
  #removeDuplicateKeys(items: Pair[], parentPath: ListPath): Pair[] {
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

  #addLengthIssue(length: number): void {
    const problem = `the text has ${length} characters; ` +
      `allowed: at most ${maxListLength} characters`;
    this.syntaxIssues.push(
      this.#createIssue([], { line: 1, column: 1, problem }),
    );
  }

  #createIssue(
    path: ListPath,
    details: ListPosition & { readonly problem: string },
  ): ListIssue {
    const { listName } = this;
    return { listName, path, value: undefined, unit: undefined, ...details };
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

/** Returns the keys from the root to a node, given the node's ancestors. */
function pathOf(ancestors: readonly unknown[]): ListPath {
  return ancestors
    .filter((node): node is Pair =>
      typeof node === "object" && node !== null && "key" in node &&
      "value" in node
    )
    .map(keyOf);
}
