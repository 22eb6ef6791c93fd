import { it } from 'node:test';
import { expect } from 'earl';
import { describeError, errorMessage, fault } from './errors.js';

it('a fault keeps its cause, and has no cause property if nothing was thrown', () => {
  const cause = new TypeError('not a number');

  expect(fault('wire', 'unreadable', { cause }).cause).toEqual(cause);
  expect(Object.keys(fault('wire', 'unreadable'))).toEqual(['kind', 'detail']);
});

it('a thrown value is described with the name of the error, or by its message alone', () => {
  const thrown = new TypeError('not a number');

  expect(describeError(thrown)).toEqual('TypeError: not a number');
  expect(errorMessage(thrown)).toEqual('not a number');
  expect([describeError('gone'), errorMessage('gone')]).toEqual(['gone', 'gone']);
});
