/** Hash functions for partitioning and rendezvous hashing; not cryptographic. */

/**
 * The 32-bit FNV-1a hash of a text, used for ranges, digests and prefixes.
 * @example
 * hashText('') === 2166136261; // true
 */
export function hashText(text: string, start = 2166136261): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 16777619);
  }
  return hash >>> 0;
}

/**
 * A well-mixed 32-bit hash of a text, for rendezvous hashing: the candidate with the highest hash is chosen.
 * @example
 * mixedHash('a') !== mixedHash('b'); // true
 */
export function mixedHash(text: string): number {
  let hash = hashText(text);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
