/** Hashes text to a fraction, the same on every daemon, for rendezvous hashing. */

/** Hashes `text` to a number in (0, 1): FNV-1a with a finalizer for better mixing. */
export function hashFraction(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / 2 ** 32 + 2 ** -33;
}
