/** The view of three members that tests share. */
import { create } from '@bufbuild/protobuf';
import { MemberSchema, ViewSchema } from '@rainrun/messages';

/** Members a, b and c, in that order. */
export const VIEW = create(ViewSchema, {
  epoch: 1,
  number: 1,
  members: ['a', 'b', 'c'].map((incarnation) => create(MemberSchema, { incarnation, name: incarnation })),
});
