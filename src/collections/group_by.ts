/** Groups items by a string; keeps the order of the items in each group. */
export function groupBy<T>(
  items: readonly T[],
  getGroup: (item: T) => string,
): ReadonlyMap<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = getGroup(item);
    const existing = groups.get(group);
    if (existing === undefined) groups.set(group, [item]);
    else existing.push(item);
  }
  return groups;
}
