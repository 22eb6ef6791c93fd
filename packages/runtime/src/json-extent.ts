/** The size of a JSON document in values and levels, found before it is parsed. */

/** What parsing a JSON text would build. */
export interface JsonExtent {
  /** Deepest nesting of objects and arrays. */
  readonly depth: number;
  /** Number of values, at most one for each object, array and comma, and one more. */
  readonly values: number;
}

/**
 * Measures a JSON text in a single pass without recursion, so that a text that is nested too deeply, or holds
 * more values than fit into memory, can be rejected before it is parsed.
 * @example
 * jsonExtent('{"a":[1,2]}'); // { depth: 2, values: 4 }
 */
export function jsonExtent(text: string): JsonExtent {
  let depth = 0;
  let maxDepth = 0;
  let values = 1;
  let inString = false;
  for (let at = 0; at < text.length; at += 1) {
    const char = text[at];
    if (inString) {
      if (char === '\\') at += 1;
      else if (char === '"') inString = false;
    } else if (char === '"') inString = true;
    else if (char === ',') values += 1;
    else if (char === '{' || char === '[') {
      depth += 1;
      values += 1;
      maxDepth = Math.max(maxDepth, depth);
    } else if (char === '}' || char === ']') depth -= 1;
  }
  return { depth: maxDepth, values };
}
