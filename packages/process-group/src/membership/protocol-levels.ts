/** Protocol levels: which one a view speaks, and which nodes can join it. */

/**
 * The highest protocol level that all given members speak.
 * @example
 * levelOf([{ maxLevel: 2 }, { maxLevel: 0 }]); // 1
 */
export function levelOf(members: readonly { readonly maxLevel: number }[]): number {
  return Math.min(...members.map((member) => Math.max(1, member.maxLevel)));
}

/**
 * The reason why a member cannot join others, or undefined if there is a level that all speak.
 * @example
 * levelMismatch({ maxLevel: 1, minLevel: 1 }, [{ maxLevel: 3, minLevel: 2 }]);
 * // 'it speaks levels 1 to 1 of the protocol, the group 2 to 3'
 */
export function levelMismatch(member: LevelRange, others: readonly LevelRange[]): string | undefined {
  if (others.length === 0) return undefined;
  const min = Math.max(...others.map((other) => Math.max(1, other.minLevel)));
  const max = levelOf(others);
  if (Math.max(1, member.maxLevel) >= min && Math.max(1, member.minLevel) <= max) return undefined;
  return `it speaks levels ${Math.max(1, member.minLevel)} to ${Math.max(1, member.maxLevel)} of the protocol, the group ${min} to ${max}`;
}

interface LevelRange {
  readonly maxLevel: number;
  readonly minLevel: number;
}
