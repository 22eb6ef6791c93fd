/**
 * The agreement of one machine as a deterministic state machine, for model
 * checking: the production `Acceptor`, `Candidacy` and `Coordinator` behind inputs
 * that a search chooses one by one. Views, heartbeats and time are left out: a
 * machine may claim, change voters or lose its memory at any moment.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  DiskRecordSchema,
  EntrySchema,
  FlushReplySchema,
  OperationSchema,
  PromiseRecordSchema,
  PromiseSchema,
  ProposeSchema,
  MemberSchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  VoterSchema,
  type Accepted,
  type Prepare,
  type Frame,
  type Propose,
  type Member,
  type Version,
  type Voter,
} from '@rainrun/messages';
import type { Fault } from '@rainrun/common';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { Result, type Unit } from 'true-myth';
import {
  digestOf,
  lifeName,
  lifeOf,
  messageName,
  nameOf,
  type Life,
  type Message,
} from './agreement-messages.js';
import type { Acceptor, readRecords } from './acceptor.js';
import type { Candidacy, CandidacyContext } from './candidacy.js';
import type { Coordinator, CoordinatorContext } from './coordinator.js';
import { disksOf, fromVersion, type GroupState, type StateMachine, type VoterSets } from './play.js';
import { GROUP_TIMES } from './times.js';

/** The code under check; a mutant brings its own. */
export interface AgreementCode {
  readonly Acceptor: typeof Acceptor;
  readonly Candidacy: typeof Candidacy;
  readonly Coordinator: typeof Coordinator;
  readonly readRecords: typeof readRecords;
}

/** What the search may do to one machine. */
export type Input =
  | { readonly kind: 'claim' }
  | { readonly kind: 'sync' }
  | { readonly kind: 'operate' }
  | { readonly kind: 'replace'; readonly disk: string }
  | { readonly kind: 'deliver'; readonly message: Message };

const DEPLOYMENT = 'model';

/** The state of the application: the ids of the operations, one after the other. */
const PLAY: StateMachine<string> = {
  empty: () => '',
  encode: (state) => ({
    application: new TextEncoder().encode(state),
    applicationExtension: new Uint8Array(),
  }),
  decode: ({ application: play }) => Result.ok(new TextDecoder().decode(play)),
  withoutExtension: (state) => state,
  apply: (state, operation) => ({
    state: `${state} ${operation.id}`,
    outcome: { kind: 'agreed', detail: '' },
  }),
};

/** Lost voters are replaced at once, and the view never changes. */
const TIMES = { ...GROUP_TIMES, replaceMs: 0, graceMs: Infinity };

function seatOf(machine: string): Member {
  return create(MemberSchema, { name: machine, incarnation: machine, address: machine, disk: machine });
}

function voterOf(machine: string): Voter {
  return create(VoterSchema, { name: machine, disk: machine });
}

/** The first version of the history: agreed by the first voters before the search begins. */
export function firstVersion(machines: readonly string[], voters: readonly string[]): Version {
  return create(VersionSchema, {
    epoch: 1,
    number: 1,
    entry: create(EntrySchema),
    state: create(StateSchema, {
      deployment: DEPLOYMENT,
      view: create(ViewSchema, { epoch: 1, number: 1, members: machines.map(seatOf) }),
      voters: voters.map(voterOf),
    }),
  });
}

/** The records of a disk that is empty but for its id. */
export function emptyDisk(machine: string): Records {
  return { disk: toBinary(DiskRecordSchema, create(DiskRecordSchema, { disk: machine })) };
}

/** The records of a disk that took part in the first version. */
export function firstDisk(machine: string, version: Version, founder: string): Records {
  const disk = create(DiskRecordSchema, { disk: machine, deployment: DEPLOYMENT });
  const promise = create(PromiseRecordSchema, { epoch: 1, candidate: founder });
  return {
    disk: toBinary(DiskRecordSchema, disk),
    promise: toBinary(PromiseRecordSchema, promise),
    version: toBinary(VersionSchema, version),
  };
}

interface Write {
  readonly kind: RecordKind;
  readonly bytes: Uint8Array;
  readonly cause: string;
  readonly done: (result: Result<Unit, Fault>) => void;
}

/** One life of a machine that votes and may coordinate. */
export class ModelMachine {
  readonly from: Life;
  #records: Records;
  #writes: Write[] = [];
  #acceptor: Acceptor;
  #claims: Candidacy;
  #coordinator: Coordinator<string> | undefined;
  #held: GroupState<string> | undefined;
  #code: AgreementCode;
  #epochSeen = 0;
  #missing: string | undefined;
  /** Number that the coordinator proposes and has not seen chosen. */
  #proposing: number | undefined;
  #operations = 0;
  /** Inputs that shaped the claim or the coordinator of now. */
  #log: string[] = [];
  /** A claim is answered once in a life. */
  #claimsHeard = new Set<string>();
  #cause = '';
  #sent: Message[] = [];
  /** Why the disk's records were refused. */
  readonly broken: string | undefined;

  constructor(code: AgreementCode, from: Life, records: Records) {
    this.#code = code;
    this.from = from;
    this.#records = { ...records };
    const opening = code.readRecords(records, from.machine);
    this.broken = opening.isErr ? opening.error.detail : undefined;
    const vault: RecordWriter = {
      store: (kind, bytes, done) => void this.#writes.push({ kind, bytes, cause: this.#cause, done }),
    };
    const fresh = {
      disk: from.machine,
      deployment: '',
      promisedEpoch: 0,
      promisedTo: '',
      accepted: undefined,
    };
    this.#acceptor = new code.Acceptor(
      opening.isOk ? opening.value : fresh,
      vault,
      DEPLOYMENT,
      () => undefined,
    );
    this.#claims = new code.Candidacy(this.#claimContext());
  }

  /** What a crash leaves. */
  get records(): Records {
    return { ...this.#records };
  }

  get writesWait(): boolean {
    return this.#writes.length > 0;
  }

  /** Whether this machine is among the voters that it knows of, and would claim if it heard of no coordinator. */
  get mayClaim(): boolean {
    const listed = this.#voters().voters.some((voter) => voter.disk === this.from.machine);
    return listed && this.#coordinator === undefined && !this.#acceptor.busy;
  }

  /** Whether this machine coordinates and waits for nothing. */
  get idleCoordinator(): boolean {
    return this.#coordinator?.ready === true && this.#proposing === undefined;
  }

  /** Messages that are not taken again: claims in this life, replies since this machine claimed. */
  get heardMessages(): ReadonlySet<string> {
    return new Set([...this.#log, ...this.#claimsHeard]);
  }

  /** Equal for machines that behave alike from now on. */
  fingerprint(): string {
    const { machine, life } = this.from;
    const records = (['disk', 'promise', 'version'] as const).map((kind) => this.#nameOfRecord(kind));
    const writes = this.#writes.map(({ kind, bytes, cause }) => [kind, digestOf(bytes), cause]);
    const { promisedEpoch, accepted } = this.#acceptor;
    return JSON.stringify([
      machine,
      life,
      records,
      writes,
      promisedEpoch,
      nameOf(accepted),
      this.#epochSeen,
      this.#held?.number ?? 0,
      this.#held?.epoch ?? 0,
      this.#log,
      [...this.#claimsHeard].sort(),
    ]);
  }

  #nameOfRecord(kind: RecordKind): string {
    const bytes = this.#records[kind];
    return bytes === undefined ? '' : digestOf(bytes);
  }

  /** Carries out one input and returns what was sent. */
  apply(input: Input): readonly Message[] {
    this.#sent = [];
    this.#cause = input.kind === 'deliver' ? messageName(input.message) : input.kind;
    switch (input.kind) {
      case 'claim':
        this.#claim();
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
    if (!this.#claims.pressing && this.#coordinator === undefined) this.#log = [];
    return this.#sent;
  }

  #claim(): void {
    this.#claims.forget();
    this.#log = [`claim ${this.#epoch()} ${[...disksOf(this.#voters())].join()}`];
    this.#claims.begin(0);
  }

  #sync(): void {
    const write = this.#writes.shift();
    if (write === undefined) return;
    this.#records[write.kind] = write.bytes;
    this.#cause = write.cause;
    if (write.kind === 'promise' && write.cause === 'claim') this.#notePromiseToSelf(write.bytes);
    write.done(Result.ok());
  }

  /** A machine's promise to itself goes over no network: the invariants see it as an event. */
  #notePromiseToSelf(bytes: Uint8Array): void {
    const { epoch } = fromBinary(PromiseRecordSchema, bytes);
    const promise = create(PromiseSchema, { epoch, disk: this.from.machine, granted: true });
    const { accepted } = this.#acceptor;
    if (accepted !== undefined) promise.accepted = accepted;
    this.#send({ kind: 'promise', from: this.from, to: this.from, promise });
  }

  #operate(): void {
    this.#operations += 1;
    const id = `${this.from.machine}${this.from.life}-${this.#coordinator?.epoch ?? 0}-${this.#operations}`;
    this.#log.push(`operate ${id}`);
    this.#coordinator?.submit(
      create(OperationSchema, { id, kind: 'add', transient: true }),
      seatOf(this.from.machine),
    );
    this.#coordinator?.tick(0);
  }

  #replace(disk: string): void {
    this.#log.push(`replace ${disk}`);
    this.#missing = disk;
    this.#coordinator?.tick(0);
    this.#missing = undefined;
    this.#coordinator?.tick(TIMES.resendMs);
  }

  #deliver(message: Message): void {
    switch (message.kind) {
      case 'claim':
        this.#claimsHeard.add(messageName(message));
        return this.#claims.onClaim(lifeName(message.from), message.claim);
      case 'promise':
        this.#log.push(messageName(message));
        return this.#claims.onPromise(message.promise);
      case 'propose':
        return this.#onPropose(message.from, message.propose);
      case 'accepted':
        return this.#onAccepted(message.accepted, messageName(message));
      default:
        return;
    }
  }

  // As in `Group`.

  #epoch(): number {
    return Math.max(this.#epochSeen, this.#acceptor.promisedEpoch);
  }

  #voters(): VoterSets {
    return this.#held ?? this.#acceptor.accepted?.state ?? { voters: [], previousVoters: [] };
  }

  #onPropose(from: Life, propose: Propose): void {
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
    if (accepted.epoch === coordinator.epoch && accepted.number === this.#proposing) this.#log.push(name);
    coordinator.accepted(accepted);
    this.#coordinator?.tick(0);
  }

  #resign(): void {
    this.#coordinator = undefined;
    this.#proposing = undefined;
  }

  #take(epoch: number, version: Version): void {
    const base = fromVersion(PLAY, version);
    if (base.isErr) return;
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
    this.#send({ kind: 'elected', from: this.from, epoch });
    this.#proposing = version.number;
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

  #post(seat: Member, body: Frame['body']): void {
    const { from } = this;
    switch (body.case) {
      case 'prepare':
        return body.value.preVote
          ? this.#support(seat, body.value)
          : this.#send({ kind: 'claim', from, to: seat.incarnation, claim: body.value });
      case 'promise':
        return this.#send({ kind: 'promise', from, to: lifeOf(seat.incarnation), promise: body.value });
      case 'propose':
        this.#proposing = body.value.version?.number;
        return this.#send({ kind: 'propose', from, to: seat.incarnation, propose: body.value });
      case 'flushRequest':
        return this.#coordinator?.flushed(
          seat.incarnation,
          create(FlushReplySchema, { epoch: body.value.epoch, change: body.value.change }),
        );
      default:
        return;
    }
  }

  /** The question before a claim guards nothing but peace: here everyone supports every claim. */
  #support(seat: Member, claim: Prepare): void {
    const { epoch } = claim;
    this.#claims.onPromise({
      $typeName: 'rainrun.v1.Promise',
      epoch,
      disk: seat.disk,
      granted: true,
      preVote: true,
      seenEpoch: 0,
    });
  }

  #claimContext(): CandidacyContext {
    const { machine } = this.from;
    return {
      acceptor: this.#acceptor,
      times: TIMES,
      chance: { next: () => 0 },
      nowMs: () => 0,
      voters: () => this.#voters(),
      memberOfVoter: (disk) => seatOf(disk),
      member: (incarnation) => create(MemberSchema, { name: machine, incarnation }),
      send: (seat, body) => this.#post(seat, body),
      followedCoordinator: () => undefined,
      epoch: () => this.#epoch(),
      learnEpoch: (epoch) => {
        this.#epochSeen = Math.max(this.#epochSeen, epoch);
      },
      becomeCoordinator: (epoch, version) => this.#take(epoch, version),
    };
  }

  #coordinatorContext(): CoordinatorContext<string> {
    const { machine } = this.from;
    return {
      stateMachine: PLAY,
      times: TIMES,
      disk: machine,
      desiredVoterCount: 0,
      self: () => seatOf(machine),
      appliedVersion: () => this.#held?.number ?? 0,
      hasLeft: () => false,
      isLive: () => true,
      isReported: () => false,
      joiners: () => [],
      memberOfVoter: (disk) => (disk === this.#missing ? undefined : seatOf(disk)),
      send: (seat, body) => this.#post(seat, body),
      sendOrdered: (seat, body) => {
        if (body.case === 'chosen')
          this.#coordinator?.holds(seat.incarnation, body.value.versions.at(-1)?.number ?? 0);
      },
      vote: (version) => {
        this.#proposing = version.number;
        const value = create(ProposeSchema, { disk: machine, version });
        this.#acceptor.accept(value, (accepted) => {
          this.#send({ kind: 'accepted', from: this.from, to: this.from, accepted });
          this.#onAccepted(accepted, `own ${accepted.epoch} ${accepted.number}`);
        });
      },
      flushSelf: () => [],
      deliverSelf: (version) => {
        this.#proposing = undefined;
        const held = fromVersion(PLAY, version);
        if (held.isOk) this.#held = held.value;
        this.#send({ kind: 'chosen', from: this.from, version });
      },
    };
  }
}
