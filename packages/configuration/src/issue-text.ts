/** Faults of schemas as text that shows no value which may be a secret. */
import * as v from 'valibot';

/** Validations whose message shows a length or a number, and never text. */
function showsOnlyNumbers(issue: v.BaseIssue<unknown>): boolean {
  return typeof issue.input === 'number' || issue.type === 'min_length' || issue.type === 'max_length';
}

function typeName(value: unknown): string {
  if (Array.isArray(value)) return 'a list';
  return typeof value === 'object' ? 'an object' : `a ${typeof value}`;
}

/**
 * What a schema has against a value. A value of another type than expected is named by its type alone: where a key
 * belongs into a list, it may have been written without one.
 * @example
 * issueMessage(issue); // 'Invalid type: Expected Array but received a string'
 */
export function issueMessage(issue: v.BaseIssue<unknown>): string {
  const { input, kind, message, received } = issue;
  if (input === undefined || input === null) return message;
  if (kind === 'validation' && showsOnlyNumbers(issue)) return message;
  const shown = ` but received ${received}`;
  if (!message.endsWith(shown)) return message;
  return `${message.slice(0, -shown.length)} but received ${typeName(input)}`;
}
