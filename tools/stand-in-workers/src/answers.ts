import { hashText } from '@rainrun/common';

/**
 * A short hash, by which a stand-in worker and a simulated client derive the same
 * answer without communicating.
 * @example
 * digest('a') === digest('a'); // true
 */
export function digest(text: string): string {
  return hashText(text).toString(16);
}

/**
 * The number of pieces in the answer to a prompt.
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
 * The first fault of an answer, or undefined if it is complete and correct.
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
