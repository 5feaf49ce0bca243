/** Hashing of keys to shards, equal on every daemon. */
import xxhash from "xxhash-wasm";

/** Hashes text to 32 bits. */
export type HashFunction = (text: string) => number;

/** Loads the hash; the WebAssembly module is compiled once per call. */
export async function createHashFunction(): Promise<HashFunction> {
  const { h32 } = await xxhash();
  return (text) => h32(text) >>> 0;
}

/** The shard of a key. */
export function computeShard(
  hash: HashFunction,
  key: string,
  options: { readonly shardCount: number },
): number {
  return hash(key) % options.shardCount;
}
