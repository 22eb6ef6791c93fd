/** Formats the issues of schema validation without showing values that may be secrets. */
import * as v from 'valibot';

/** Tells whether the message of a validation issue can only show a length or a number, and never text. */
function showsOnlyNumbers(issue: v.BaseIssue<unknown>): boolean {
  return typeof issue.input === 'number' || issue.type === 'min_length' || issue.type === 'max_length';
}

function typeName(value: unknown): string {
  if (Array.isArray(value)) return 'a list';
  return typeof value === 'object' ? 'an object' : `a ${typeof value}`;
}

/**
 * Returns the message of a schema issue. A value of an unexpected type is described by its type alone,
 * because it may be a secret: an API key may have been written in place of a list of keys.
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
