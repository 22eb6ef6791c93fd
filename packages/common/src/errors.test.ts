import { it } from 'node:test';
import { expect } from 'earl';
import { describeError, errorMessage, fault } from './errors.js';

it('keeps the cause of a fault, and leaves it out where nothing was thrown', () => {
  const cause = new TypeError('not a number');

  expect(fault('wire', 'unreadable', { cause }).cause).toEqual(cause);
  expect(Object.keys(fault('wire', 'unreadable'))).toEqual(['kind', 'detail']);
});

it('puts what was thrown into text, with the name of the error or without', () => {
  const thrown = new TypeError('not a number');

  expect(describeError(thrown)).toEqual('TypeError: not a number');
  expect(errorMessage(thrown)).toEqual('not a number');
  expect([describeError('gone'), errorMessage('gone')]).toEqual(['gone', 'gone']);
});
