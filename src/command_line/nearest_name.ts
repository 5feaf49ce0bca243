/** Suggests the name that a misspelt one was meant to be. */

const maxSuggestedDistance = 4;

/** Finds the closest known name; undefined when none is close. */
export function tryFindNearestName(
  name: string,
  knownNames: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = maxSuggestedDistance + 1;
  for (const known of knownNames) {
    const distance = computeEditDistance(name, known);
    if (distance >= nearestDistance) continue;
    nearest = known;
    nearestDistance = distance;
  }
  return nearest;
}

/** Renders the suggestion as the end of a message; empty when there is none. */
export function formatSuggestion(
  name: string,
  knownNames: readonly string[],
): string {
  const nearest = tryFindNearestName(name, knownNames);
  return nearest === undefined ? "" : `; did you mean ${nearest}?`;
}

/** Counts the insertions, deletions and replacements between two texts. */
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
