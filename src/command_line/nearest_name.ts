/** Suggests the known name that is closest to a misspelt name. */

const maxEditDistance = 4;

/** Finds the known name with the smallest edit distance; undefined if every distance is too large. */
export function tryFindNearestName(
  name: string,
  knownNames: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = maxEditDistance + 1;
  for (const known of knownNames) {
    const distance = computeEditDistance(name, known);
    if (distance >= nearestDistance) continue;
    nearest = known;
    nearestDistance = distance;
  }
  return nearest;
}

/** Renders the suggestion as the end of a message; empty if no name is close enough. */
export function formatSuggestion(
  name: string,
  knownNames: readonly string[],
): string {
  const nearest = tryFindNearestName(name, knownNames);
  return nearest === undefined ? "" : `; did you mean ${nearest}?`;
}

/** Computes the Levenshtein distance between two texts. */
function computeEditDistance(from: string, to: string): number {
  let previous = Array.from({ length: to.length + 1 }, (_, index) => index);
  for (let row = 1; row <= from.length; row++) {
    const current = [row];
    for (let column = 1; column <= to.length; column++) {
      const isEqual = from[row - 1] === to[column - 1];
      current.push(Math.min(
        previous[column]! + 1,
        current[column - 1]! + 1,
        previous[column - 1]! + (isEqual ? 0 : 1),
      ));
    }
    previous = current;
  }
  return previous[to.length]!;
}
