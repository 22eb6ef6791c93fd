/** Serializes configuration documents, each only once. */

/** Cached texts; they stay valid because documents are never changed in place. */
const texts = new WeakMap<object, string>();

/**
 * Returns a document as JSON text.
 * @example
 * documentText({ revision: 7 }); // '{"revision":7}'
 */
export function documentText(document: Readonly<Record<string, unknown>>): string {
  let text = texts.get(document);
  if (text === undefined) {
    text = JSON.stringify(document);
    texts.set(document, text);
  }
  return text;
}
