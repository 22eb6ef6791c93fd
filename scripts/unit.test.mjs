import { describe, it } from 'node:test';
import { expect } from 'earl';
import { isCrowdTest, knownInFiles, readKnownRed, verdict } from './unit.mjs';

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

  it('lets a test that it calls unsteady fail or pass', () => {
    const unsteady = readKnownRed('a.test.js > one | unsteady: one of three runs | issue 9');
    expect(verdict(new Set(), unsteady)).toEqual({ unlisted: [], stale: [] });
    expect(verdict(new Set(['a.test.js > one']), unsteady)).toEqual({ unlisted: [], stale: [] });
  });

  it('counts only for the files that are run', () => {
    expect([...knownInFiles(known, ['b.test.js'])]).toEqual([]);
    expect([...knownInFiles(known, ['b.test.js', 'a.test.js']).keys()]).toEqual(['a.test.js > one']);
  });

  it('must not name a test that passes', () => {
    expect(verdict(new Set(), known).stale).toEqual(['a.test.js > one']);
  });
});

describe('the choice of test files', () => {
  it('keeps tests with crowds of clients apart', () => {
    expect(['dist/a.crowd.test.js', 'dist/a.test.js'].map(isCrowdTest)).toEqual([true, false]);
  });
});
