import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readKnownRed, verdict } from './unit.mjs';

describe('the list of tests known to fail', () => {
  const known = readKnownRed('# why\n\na.test.js > one | the disk lies | issue 9\n');

  it('is read line by line, with cause and issue', () => {
    expect([...known]).toEqual([['a.test.js > one', { cause: 'the disk lies', issue: 'issue 9' }]]);
  });

  it('lets only the tests that it names fail', () => {
    expect(verdict(new Set(['a.test.js > one', 'b.test.js > two']), known).unlisted).toEqual([
      'b.test.js > two',
    ]);
  });

  it('must not name a test that passes', () => {
    expect(verdict(new Set(), known).stale).toEqual(['a.test.js > one']);
  });
});
