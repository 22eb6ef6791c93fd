/**
 * FNV-1a over a text, as used for ranges, digests and prefixes.
 * @example
 * hashText('') === 2166136261; // true
 */
export function hashText(text: string, start = 2166136261): number {
  let hash = start;
  for (let place = 0; place < text.length; place += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(place), 16777619);
  }
  return hash >>> 0;
}
