import { hashText } from '@rainrun/common';

/**
 * A short hash, so that stand-in worker and stand-in visitor agree on an answer
 * without speaking to each other.
 * @example
 * digest('a') === digest('a'); // true
 */
export function digest(text: string): string {
  return hashText(text).toString(16);
}

/**
 * How many pieces the answer to a prompt has.
 * @example
 * pieceCount('how high is the tower') > 0; // true
 */
export function pieceCount(prompt: string): number {
  return 4 + (parseInt(digest(prompt), 16) % 12);
}

/**
 * One piece of an answer: its index, the run it belongs to, and its content.
 * @example
 * piece('model-1', '', 'how high', 0, 'run-7');
 */
export function piece(model: string, adapter: string, prompt: string, index: number, run: string): string {
  return `${index}/${pieceCount(prompt)}:${run}:${digest(`${model}|${adapter}|${prompt}|${index}`)} `;
}

/**
 * What is wrong with an answer, or undefined when it is whole and right.
 * @example
 * wrong('model-1', '', 'how high', text); // undefined
 */
export function wrong(model: string, adapter: string, prompt: string, text: string): string | undefined {
  const pieces = text.trimEnd().split(' ');
  const run = pieces[0]?.split(':')[1] ?? '';
  if (pieces.length !== pieceCount(prompt)) return `${pieces.length} pieces instead of ${pieceCount(prompt)}`;
  for (const [index, found] of pieces.entries()) {
    const expected = piece(model, adapter, prompt, index, run).trimEnd();
    if (found !== expected) return `piece ${index} is "${found}", expected "${expected}"`;
  }
  return undefined;
}
