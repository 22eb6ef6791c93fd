import { describe, it } from 'node:test';
import { expect } from 'earl';
import { levelMismatch, levelOf } from './protocol-levels.js';

describe('protocol levels', () => {
  it('use the highest level that all members speak and reject a joiner that shares no level with them', () => {
    expect([
      levelOf([{ maxLevel: 2 }, { maxLevel: 0 }]),
      levelOf([{ maxLevel: 3 }, { maxLevel: 2 }]),
    ]).toEqual([1, 2]);
    const group = [
      { maxLevel: 2, minLevel: 1 },
      { maxLevel: 3, minLevel: 2 },
    ];
    expect(levelMismatch({ maxLevel: 2, minLevel: 1 }, group)).toEqual(undefined);
    expect(levelMismatch({ maxLevel: 0, minLevel: 0 }, group)).toEqual(
      'it speaks levels 1 to 1 of the protocol, the group 2 to 2',
    );
    expect(levelMismatch({ maxLevel: 4, minLevel: 3 }, group)).toEqual(
      'it speaks levels 3 to 4 of the protocol, the group 2 to 2',
    );
  });
});
