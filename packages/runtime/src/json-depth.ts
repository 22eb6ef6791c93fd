/**
 * How deep objects and lists are nested in a JSON text, by a single pass
 * without recursion: what is nested too deep is refused before it is parsed.
 * @example
 * jsonDepth('{"a":[1]}'); // 2
 */
export function jsonDepth(text: string): number {
  let depth = 0;
  let most = 0;
  let inText = false;
  for (let at = 0; at < text.length; at += 1) {
    const char = text[at];
    if (inText) {
      if (char === '\\') at += 1;
      else if (char === '"') inText = false;
    } else if (char === '"') inText = true;
    else if (char === '{' || char === '[') {
      depth += 1;
      most = Math.max(most, depth);
    } else if (char === '}' || char === ']') depth -= 1;
  }
  return most;
}
