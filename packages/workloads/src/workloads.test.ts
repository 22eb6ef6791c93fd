import { it } from 'node:test';
import { expect } from 'earl';
import { formatRecordedCall, formatDayHeader, promptOf, parseDay, type RecordedCall } from './day.js';

const CALL: RecordedCall = {
  atMs: 5,
  group: 'g',
  kind: 'k',
  path: '/p',
  model: 'm',
  adapter: '',
  stream: true,
  prefix: 1,
  chars: 80,
};

it('a recorded day is parsed back to the requests that were written', () => {
  const day = parseDay(`${formatDayHeader('d')}\n${formatRecordedCall(CALL)}\n`);
  expect(day.isOk && day.value.calls).toEqual([CALL]);
});

it('a damaged, truncated, foreign or newer day is rejected with the number of the line', () => {
  const texts = [
    `${formatDayHeader('d')}\n${formatRecordedCall(CALL)}\n{"atMs":-1}\n`,
    `${formatDayHeader('d')}\n${formatRecordedCall(CALL).slice(0, 20)}`,
    'hello\n',
    '{"format":"rainrun-day","version":9,"deployment":"d"}\n',
  ];
  const found = texts.map((text) => {
    const day = parseDay(text);
    return day.isErr ? day.error.detail.slice(0, 7) : 'read';
  });
  expect(found).toEqual(['line 3:', 'line 2:', 'line 1:', 'line 1:']);
});

it('prompts with the same prefix number share their beginning', () => {
  expect(promptOf(CALL, 1).slice(0, 40)).toEqual(promptOf(CALL, 2).slice(0, 40));
});
