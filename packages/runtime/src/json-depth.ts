/**
 * The nesting depth of objects and arrays in a JSON text, found in a single pass without recursion, so that
 * text that is nested too deeply can be rejected before it is parsed.
 * @example
 * jsonDepth('{"a":[1]}'); // 2
 */
export function jsonDepth(text: string): number {
  let depth = 0;
  let maxDepth = 0;
  let inString = false;
  for (let at = 0; at < text.length; at += 1) {
    const char = text[at];
    if (inString) {
      if (char === '\\') at += 1;
      else if (char === '"') inString = false;
    } else if (char === '"') inString = true;
    else if (char === '{' || char === '[') {
      depth += 1;
      maxDepth = Math.max(maxDepth, depth);
    } else if (char === '}' || char === ']') depth -= 1;
  }
  return maxDepth;
}
