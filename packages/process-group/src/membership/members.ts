/** Members of a view: their ranks and incarnations. */
import { clone } from '@bufbuild/protobuf';
import { MemberSchema, type Member, type View } from '@rainrun/messages';

/**
 * The rank of an incarnation in a view, or -1 if it is no member.
 * @example
 * rankOf(view, 'incarnation-1'); // 0
 */
export function rankOf(view: View, incarnation: string): number {
  return view.members.findIndex((member) => member.incarnation === incarnation);
}

/**
 * A copy of a member under another incarnation, for a removed node that rejoins.
 * @example
 * withNewIncarnation(member, 'incarnation-2').incarnation; // 'incarnation-2'
 */
export function withNewIncarnation(member: Member, incarnation: string): Member {
  const copy = clone(MemberSchema, member);
  copy.incarnation = incarnation;
  return copy;
}
