/** JSON text of configuration documents, written once for each. */

/** Documents are never changed in place. */
const texts = new WeakMap<object, string>();

/**
 * A document as JSON text.
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
