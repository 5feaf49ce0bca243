/** Hashes keys to shards, with the same result on every daemon. */
import xxhash from "xxhash-wasm";

/** Hashes text to an unsigned 32-bit integer. */
export type HashFunction = (text: string) => number;

/** Creates the hash function; each call compiles the WebAssembly module. */
export async function createHashFunction(): Promise<HashFunction> {
  const { h32 } = await xxhash();
  return (text) => h32(text) >>> 0;
}

/** Returns the shard of a key. */
export function computeShard(
  hash: HashFunction,
  key: string,
  options: { readonly shardCount: number },
): number {
  return hash(key) % options.shardCount;
}
