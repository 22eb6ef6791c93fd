import { clone, create } from '@bufbuild/protobuf';
import { AnswerSchema, EntrySchema, SeatSchema, StateSchema, VersionSchema, ViewSchema, } from '@rainrun/messages';
/** Answers kept at level 1, and brief ones kept at any. */
const PLAIN_KEPT = 512;
const BRIEF_KEPT = 64;
/** So long by the group's clock an answer to an operator is remembered, and its id applied no second time. */
export const REMEMBERED_MS = 600_000;
/** No more answers to operators are remembered; further operations wait or are refused at the door. */
export const REMEMBERED_MOST = 2048;
/** No detail of an answer is longer. */
const DETAIL_CHARS = 600;
/**
 * More than half of a set.
 * @example
 * majority(3); // 2
 */
export function majority(size) {
    return Math.floor(size / 2) + 1;
}
/**
 * Whether these disks are a majority of the voters, and of those before where a
 * version changed them.
 * @example
 * isQuorum(held, new Set(['disk-1', 'disk-2']));
 */
export function isQuorum(sets, disks) {
    const { voters, votersBefore } = sets;
    return hasMajority(voters, disks) && (votersBefore.length === 0 || hasMajority(votersBefore, disks));
}
function hasMajority(voters, disks) {
    return voters.filter((voter) => disks.has(voter.disk)).length >= majority(voters.length);
}
/**
 * The disks of all voters of a version, and of those before it.
 * @example
 * disksOf(held); // Set { 'disk-1', 'disk-2', 'disk-3' }
 */
export function disksOf(sets) {
    return new Set([...sets.voters, ...sets.votersBefore].map((voter) => voter.disk));
}
/**
 * The rank of a incarnation in a view, or -1.
 * @example
 * rankOf(view, 'incarnation-1'); // 0
 */
export function rankOf(view, incarnation) {
    return view.members.findIndex((member) => member.incarnation === incarnation);
}
/**
 * Whether version `one` comes after `other`: the epoch decides before the number.
 * @example
 * later({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export function later(one, other) {
    return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}
/**
 * How many answers to operators are remembered now.
 * @example
 * rememberedCount(held) >= REMEMBERED_MOST; // true: no room for another operation
 */
export function rememberedCount(held) {
    return held.answers.filter((answer) => !answer.brief).length;
}
/** What is remembered of earlier operations: level 1 counts, later levels go by the group's clock. */
function remember(answers, level, clockMs) {
    if (level === 1)
        return answers.slice(-PLAIN_KEPT);
    const brief = answers.filter((answer) => answer.brief).slice(-BRIEF_KEPT);
    const kept = answers.filter((answer) => answer.brief ? brief.includes(answer) : clockMs - answer.clockMs <= REMEMBERED_MS);
    return kept.length === answers.length ? answers : kept;
}
/**
 * The state that follows from an entry. The same on every node.
 * @example
 * const next = advance(play, held, 2, create(EntrySchema, { operations: [operation] }));
 */
export function advance(play, held, epoch, entry) {
    const level = Math.max(1, entry.level);
    const clockMs = level === 1 ? 0 : held.clockMs + entry.elapsedMs;
    let state = level === 1 ? play.plain(held.play) : held.play;
    let answers = level === 1 ? held.answers : remember(held.answers, level, clockMs);
    const number = held.number + 1;
    for (const operation of entry.operations) {
        if (answers.some((answer) => answer.id === operation.id))
            continue;
        const applied = play.apply(state, operation, level);
        state = applied.state;
        const { kind, detail } = applied.outcome;
        const answer = create(AnswerSchema, { id: operation.id, kind, detail, number });
        if (level > 1) {
            answer.clockMs = clockMs;
            answer.brief = operation.brief;
            answer.detail = detail.slice(0, DETAIL_CHARS);
        }
        answers = remember([...answers, answer], level, clockMs);
    }
    return {
        epoch,
        number,
        deployment: held.deployment,
        view: entry.view ?? held.view,
        before: entry.view === undefined ? undefined : held.view,
        voters: entry.voters.length > 0 ? entry.voters : held.voters,
        votersBefore: entry.voters.length > 0 ? held.voters : [],
        play: state,
        answers,
        level,
        clockMs,
    };
}
/**
 * The level that all of some seats speak.
 * @example
 * levelOf([{ speaks: 2 }, { speaks: 0 }]); // 1
 */
export function levelOf(seats) {
    return Math.min(...seats.map((seat) => Math.max(1, seat.speaks)));
}
/**
 * Why a seat cannot join others, or undefined if there is a level that all speak.
 * @example
 * unbridged({ speaks: 1, speaksFrom: 1 }, [{ speaks: 3, speaksFrom: 2 }]);
 * // 'it speaks levels 1 to 1 of the protocol, the group 2 to 3'
 */
export function unbridged(seat, others) {
    if (others.length === 0)
        return undefined;
    const least = Math.max(...others.map((other) => Math.max(1, other.speaksFrom)));
    const most = levelOf(others);
    if (Math.max(1, seat.speaks) >= least && Math.max(1, seat.speaksFrom) <= most)
        return undefined;
    return `it speaks levels ${Math.max(1, seat.speaksFrom)} to ${Math.max(1, seat.speaks)} of the protocol, the group ${least} to ${most}`;
}
/**
 * Held state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(play, held, entry);
 */
export function toVersion(play, held, entry) {
    const { play: bytes, extra } = play.encode(held.play);
    const state = create(StateSchema, {
        extra,
        clockMs: held.clockMs,
        deployment: held.deployment,
        view: held.view,
        voters: [...held.voters],
        votersBefore: [...held.votersBefore],
        play: bytes,
        answers: [...held.answers],
    });
    if (held.before !== undefined)
        state.before = held.before;
    return create(VersionSchema, { epoch: held.epoch, number: held.number, entry, state });
}
/**
 * The held state that a version with state stands for.
 * @example
 * const held = fromVersion(play, version);
 */
export function fromVersion(play, version) {
    const state = version.state ?? create(StateSchema);
    return play.decode(state).map((own) => ({
        epoch: version.epoch,
        number: version.number,
        deployment: state.deployment,
        view: state.view ?? create(ViewSchema),
        before: state.before,
        voters: state.voters,
        votersBefore: state.votersBefore,
        play: own,
        answers: state.answers,
        level: Math.max(1, version.entry?.level ?? 0),
        clockMs: state.clockMs,
    }));
}
/**
 * A version without its state, as it goes to members that hold the one before.
 * @example
 * bare(version).state; // undefined
 */
export function bare(version) {
    return create(VersionSchema, {
        epoch: version.epoch,
        number: version.number,
        entry: version.entry ?? create(EntrySchema),
    });
}
/**
 * A copy of a seat under another incarnation, as a dropped node rejoins.
 * @example
 * reborn(seat, 'incarnation-2').incarnation; // 'incarnation-2'
 */
export function reborn(seat, incarnation) {
    const copy = clone(SeatSchema, seat);
    copy.incarnation = incarnation;
    return copy;
}
//# sourceMappingURL=play.js.map