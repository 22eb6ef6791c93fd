/** A view of three members for tests. */
import { create } from '@bufbuild/protobuf';
import { MemberSchema, ViewSchema } from '@rainrun/messages';

/** Members a, b and c, in that order. */
export const VIEW = create(ViewSchema, {
  epoch: 1,
  number: 1,
  members: ['a', 'b', 'c'].map((incarnation) => create(MemberSchema, { incarnation, name: incarnation })),
});
