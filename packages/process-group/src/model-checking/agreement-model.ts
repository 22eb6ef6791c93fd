/**
 * The agreement of one machine as a deterministic state machine, for model
 * checking: the production `Acceptor`, `Candidacy` and `Coordinator`, driven by
 * inputs that a search chooses one by one. Views, heartbeats and time are not
 * modelled: a machine may prepare, change voters or lose its memory at any time.
 */
import { create, fromBinary } from '@bufbuild/protobuf';
import {
  EntrySchema,
  FlushReplySchema,
  OperationSchema,
  PromiseRecordSchema,
  PromiseSchema,
  ProposeSchema,
  MemberSchema,
  type Accepted,
  type Prepare,
  type Frame,
  type Propose,
  type Member,
  type Version,
} from '@rainrun/messages';
import type { Fault } from '@rainrun/common';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { Result, type Unit } from 'true-myth';
import {
  digestOf,
  incarnationName,
  parseIncarnation,
  messageKey,
  versionKey,
  type Incarnation,
  type Message,
} from './agreement-messages.js';
import type { Acceptor, readRecords } from '../agreement/acceptor.js';
import type { Candidacy, CandidacyContext } from '../agreement/candidacy.js';
import type { Coordinator } from '../agreement/coordinator.js';
import type { CoordinatorContext } from '../agreement/coordinator-context.js';
import { fromVersion, type GroupState } from '../agreement/group-state.js';
import { disksOf, type VoterSets } from '../agreement/quorum.js';
import type { StateMachine } from '../agreement/state-machine.js';
import { DEPLOYMENT, memberOf } from './agreement-initial-state.js';
import { GROUP_TIMES } from '../times.js';

/** The code under check: the production code, or that of a mutant. */
export interface AgreementCode {
  readonly Acceptor: typeof Acceptor;
  readonly Candidacy: typeof Candidacy;
  readonly Coordinator: typeof Coordinator;
  readonly readRecords: typeof readRecords;
}

/** An input that the search may apply to one machine. */
export type Input =
  | { readonly kind: 'prepare' }
  | { readonly kind: 'sync' }
  | { readonly kind: 'operate' }
  | { readonly kind: 'replace'; readonly disk: string }
  | { readonly kind: 'deliver'; readonly message: Message };

/** State machine whose state is the ids of the applied operations, in order. */
const STATE_MACHINE: StateMachine<string> = {
  empty: () => '',
  encode: (state) => ({
    application: new TextEncoder().encode(state),
    applicationExtension: new Uint8Array(),
  }),
  decode: ({ application: bytes }) => Result.ok(new TextDecoder().decode(bytes)),
  withoutExtension: (state) => state,
  apply: (state, operation) => ({
    state: `${state} ${operation.id}`,
    outcome: { kind: 'agreed', detail: '' },
  }),
};

/** Timings with which lost voters are replaced at once and the view never changes. */
const TIMES = { ...GROUP_TIMES, voterReplacementMs: 0, graceMs: Infinity };

interface Write {
  readonly kind: RecordKind;
  readonly bytes: Uint8Array;
  readonly cause: string;
  readonly done: (result: Result<Unit, Fault>) => void;
}

/** One incarnation of a machine that votes and may coordinate. */
export class ModelMachine {
  readonly from: Incarnation;
  #records: Records;
  #writes: Write[] = [];
  #acceptor: Acceptor;
  #candidacy: Candidacy;
  #coordinator: Coordinator<string> | undefined;
  #state: GroupState<string> | undefined;
  #code: AgreementCode;
  #epochSeen = 0;
  #unreachableDisk: string | undefined;
  /** Number of the version that the coordinator proposes and that is not chosen yet. */
  #proposedNumber: number | undefined;
  #operations = 0;
  /** Inputs that determine the state of the current candidacy or coordinator. */
  #relevantInputs: string[] = [];
  /** Keys of the prepares received; each is answered once in an incarnation. */
  #preparesReceived = new Set<string>();
  #cause = '';
  #sent: Message[] = [];
  /** Why the disk's records could not be read, if they could not. */
  readonly recordsFault: string | undefined;

  constructor(code: AgreementCode, from: Incarnation, records: Records) {
    this.#code = code;
    this.from = from;
    this.#records = { ...records };
    const readResult = code.readRecords(records, from.machine);
    this.recordsFault = readResult.isErr ? readResult.error.detail : undefined;
    const writer: RecordWriter = {
      store: (kind, bytes, done) => void this.#writes.push({ kind, bytes, cause: this.#cause, done }),
    };
    const emptyRecords = {
      disk: from.machine,
      deployment: '',
      promisedEpoch: 0,
      promisedTo: '',
      accepted: undefined,
      founders: [],
    };
    this.#acceptor = new code.Acceptor(
      readResult.isOk ? readResult.value : emptyRecords,
      writer,
      DEPLOYMENT,
      () => undefined,
    );
    this.#candidacy = new code.Candidacy(this.#candidacyContext());
  }

  /** The synced records, which survive a crash. */
  get records(): Records {
    return { ...this.#records };
  }

  get hasPendingWrites(): boolean {
    return this.#writes.length > 0;
  }

  /** Whether this machine is one of the voters it knows and would prepare if it knew of no coordinator. */
  get canPrepare(): boolean {
    const listed = this.#voters().voters.some((voter) => voter.disk === this.from.machine);
    return listed && this.#coordinator === undefined && !this.#acceptor.busy;
  }

  /** Whether this machine coordinates and has no proposal in progress. */
  get isIdleCoordinator(): boolean {
    return this.#coordinator?.ready === true && this.#proposedNumber === undefined;
  }

  /** Messages not delivered again: prepares in this incarnation, replies since this machine prepared. */
  get receivedMessages(): ReadonlySet<string> {
    return new Set([...this.#relevantInputs, ...this.#preparesReceived]);
  }

  /** A key that is equal for machines that behave identically from now on. */
  fingerprint(): string {
    const { machine, incarnation } = this.from;
    const records = (['disk', 'promise', 'version'] as const).map((kind) => this.#recordDigest(kind));
    const writes = this.#writes.map(({ kind, bytes, cause }) => [kind, digestOf(bytes), cause]);
    const { promisedEpoch, accepted } = this.#acceptor;
    return JSON.stringify([
      machine,
      incarnation,
      records,
      writes,
      promisedEpoch,
      versionKey(accepted),
      this.#epochSeen,
      this.#state?.number ?? 0,
      this.#state?.epoch ?? 0,
      this.#relevantInputs,
      [...this.#preparesReceived].sort(),
    ]);
  }

  #recordDigest(kind: RecordKind): string {
    const bytes = this.#records[kind];
    return bytes === undefined ? '' : digestOf(bytes);
  }

  /** Carries out one input and returns what was sent. */
  apply(input: Input): readonly Message[] {
    this.#sent = [];
    this.#cause = input.kind === 'deliver' ? messageKey(input.message) : input.kind;
    switch (input.kind) {
      case 'prepare':
        this.#prepare();
        break;
      case 'sync':
        this.#sync();
        break;
      case 'operate':
        this.#operate();
        break;
      case 'replace':
        this.#replace(input.disk);
        break;
      case 'deliver':
        this.#deliver(input.message);
        break;
    }
    if (!this.#candidacy.isUnderWay && this.#coordinator === undefined) this.#relevantInputs = [];
    return this.#sent;
  }

  #prepare(): void {
    this.#candidacy.abandon();
    this.#relevantInputs = [`prepare ${this.#epoch()} ${[...disksOf(this.#voters())].join()}`];
    this.#candidacy.begin(0);
  }

  #sync(): void {
    const write = this.#writes.shift();
    if (write === undefined) return;
    this.#records[write.kind] = write.bytes;
    this.#cause = write.cause;
    if (write.kind === 'promise' && write.cause === 'prepare') this.#reportPromiseToSelf(write.bytes);
    write.done(Result.ok());
  }

  /** Reports a machine's promise to itself as an event for the invariants, since no message carries it. */
  #reportPromiseToSelf(bytes: Uint8Array): void {
    const { epoch } = fromBinary(PromiseRecordSchema, bytes);
    const promise = create(PromiseSchema, { epoch, disk: this.from.machine, granted: true });
    const { accepted } = this.#acceptor;
    if (accepted !== undefined) promise.accepted = accepted;
    this.#send({ kind: 'promise', from: this.from, to: this.from, promise });
  }

  #operate(): void {
    this.#operations += 1;
    const id = `${this.from.machine}${this.from.incarnation}-${this.#coordinator?.epoch ?? 0}-${this.#operations}`;
    this.#relevantInputs.push(`operate ${id}`);
    this.#coordinator?.submit(
      create(OperationSchema, { id, kind: 'add', transient: true }),
      memberOf(this.from.machine),
    );
    this.#coordinator?.tick(0);
  }

  #replace(disk: string): void {
    this.#relevantInputs.push(`replace ${disk}`);
    this.#unreachableDisk = disk;
    this.#coordinator?.tick(0);
    this.#unreachableDisk = undefined;
    this.#coordinator?.tick(TIMES.resendMs);
  }

  #deliver(message: Message): void {
    switch (message.kind) {
      case 'prepare':
        this.#preparesReceived.add(messageKey(message));
        return this.#candidacy.onPrepare(incarnationName(message.from), message.prepare);
      case 'promise':
        this.#relevantInputs.push(messageKey(message));
        return this.#candidacy.onPromise(message.promise);
      case 'propose':
        return this.#onPropose(message.from, message.propose);
      case 'accepted':
        return this.#onAccepted(message.accepted, messageKey(message));
      default:
        return;
    }
  }

  // The methods from here on do the same as those of `Group`.

  #epoch(): number {
    return Math.max(this.#epochSeen, this.#acceptor.promisedEpoch);
  }

  #voters(): VoterSets {
    return this.#state ?? this.#acceptor.accepted?.state ?? { voters: [], previousVoters: [] };
  }

  #onPropose(from: Incarnation, propose: Propose): void {
    const { version } = propose;
    if (version === undefined) return;
    const listed = version.state?.voters.some((voter) => voter.disk === this.from.machine) ?? false;
    if (!listed && this.#acceptor.accepted === undefined) return;
    if (version.epoch > (this.#coordinator?.epoch ?? Infinity)) this.#resign();
    this.#acceptor.accept(propose, (accepted) =>
      this.#send({ kind: 'accepted', from: this.from, to: from, accepted }),
    );
  }

  #onAccepted(accepted: Accepted, name: string): void {
    const coordinator = this.#coordinator;
    if (coordinator === undefined) return;
    if (accepted.seenEpoch > coordinator.epoch) {
      this.#epochSeen = Math.max(this.#epochSeen, accepted.seenEpoch);
      return this.#resign();
    }
    if (accepted.epoch === coordinator.epoch && accepted.number === this.#proposedNumber)
      this.#relevantInputs.push(name);
    coordinator.onAccepted(accepted);
    this.#coordinator?.tick(0);
  }

  #resign(): void {
    this.#coordinator = undefined;
    this.#proposedNumber = undefined;
  }

  #becomeCoordinator(epoch: number, version: Version): void {
    const base = fromVersion(STATE_MACHINE, version);
    if (base.isErr) return;
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
    this.#send({ kind: 'elected', from: this.from, epoch });
    this.#proposedNumber = version.number;
    this.#coordinator = new this.#code.Coordinator(
      this.#coordinatorContext(),
      epoch,
      base.value,
      version.entry ?? create(EntrySchema),
      0,
      () => undefined,
    );
    this.#coordinator.tick(0);
  }

  #send(message: Message): void {
    this.#sent.push(message);
  }

  #route(member: Member, body: Frame['body']): void {
    const { from } = this;
    switch (body.case) {
      case 'prepare':
        return body.value.preVote
          ? this.#grantPreVote(member, body.value)
          : this.#send({ kind: 'prepare', from, to: member.incarnation, prepare: body.value });
      case 'promise':
        return this.#send({
          kind: 'promise',
          from,
          to: parseIncarnation(member.incarnation),
          promise: body.value,
        });
      case 'propose':
        this.#proposedNumber = body.value.version?.number;
        return this.#send({ kind: 'propose', from, to: member.incarnation, propose: body.value });
      case 'flushRequest':
        return this.#coordinator?.onFlushReply(
          member.incarnation,
          create(FlushReplySchema, { epoch: body.value.epoch, change: body.value.change }),
        );
      default:
        return;
    }
  }

  /** Grants every pre-vote: pre-votes only avoid needless elections and do not matter for safety. */
  #grantPreVote(member: Member, prepare: Prepare): void {
    const { epoch } = prepare;
    this.#candidacy.onPromise({
      $typeName: 'rainrun.v1.Promise',
      epoch,
      disk: member.disk,
      granted: true,
      preVote: true,
      seenEpoch: 0,
    });
  }

  #candidacyContext(): CandidacyContext {
    const { machine } = this.from;
    return {
      acceptor: this.#acceptor,
      times: TIMES,
      random: { next: () => 0 },
      nowMs: () => 0,
      voters: () => this.#voters(),
      memberOfVoter: (disk) => memberOf(disk),
      member: (incarnation) => create(MemberSchema, { name: machine, incarnation }),
      send: (member, body) => this.#route(member, body),
      followedCoordinator: () => undefined,
      epoch: () => this.#epoch(),
      learnEpoch: (epoch) => {
        this.#epochSeen = Math.max(this.#epochSeen, epoch);
      },
      becomeCoordinator: (epoch, version) => this.#becomeCoordinator(epoch, version),
    };
  }

  #coordinatorContext(): CoordinatorContext<string> {
    const { machine } = this.from;
    return {
      stateMachine: STATE_MACHINE,
      times: TIMES,
      disk: machine,
      desiredVoterCount: 0,
      self: () => memberOf(machine),
      appliedVersion: () => this.#state?.number ?? 0,
      hasLeft: () => false,
      isLive: () => true,
      isReported: () => false,
      joiners: () => [],
      memberOfVoter: (disk) => (disk === this.#unreachableDisk ? undefined : memberOf(disk)),
      send: (member, body) => this.#route(member, body),
      sendOrdered: (member, body) => {
        if (body.case === 'chosen')
          this.#coordinator?.learnApplied(member.incarnation, body.value.versions.at(-1)?.number ?? 0);
      },
      vote: (version) => {
        this.#proposedNumber = version.number;
        const value = create(ProposeSchema, { disk: machine, version });
        this.#acceptor.accept(value, (accepted) => {
          this.#send({ kind: 'accepted', from: this.from, to: this.from, accepted });
          this.#onAccepted(accepted, `own ${accepted.epoch} ${accepted.number}`);
        });
      },
      flushSelf: () => [],
      deliverSelf: (version) => {
        this.#proposedNumber = undefined;
        const state = fromVersion(STATE_MACHINE, version);
        if (state.isOk) this.#state = state.value;
        this.#send({ kind: 'chosen', from: this.from, version });
      },
    };
  }
}
