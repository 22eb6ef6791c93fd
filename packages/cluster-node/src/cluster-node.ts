/** A node of the spec family: wires the process group to gossip, placement, forwarded queries and observations. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  ObservationSchema,
  OperationSchema,
  type Entry,
  type Frame,
  type Member,
  type Observation,
  type WorkerList,
} from '@rainrun/messages';
import { Group, type GroupDependencies, type GroupState } from '@rainrun/process-group';
import { EMPTY_SPEC_STATE, type SpecState } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { SpecOrder, SpecOrderReply, SpecPlacerSettings } from '@rainrun/placement';
import type { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { DemandTable, type GroupStatus } from './demand-table.js';
import { ForwardedQueries, type QueryCallback, type QueryResult } from './forwarded-queries.js';
import { PendingOperations, type AnswerCallback } from './pending-operations.js';
import { SpecPlacementLoop } from './spec-placement-loop.js';
import { SPEC_STATE_MACHINE } from './spec-state-machine.js';
import { WorkerDirectory, type DirectoryWorker } from './worker-directory.js';
import { WorkerGossip } from './worker-gossip.js';

/** What a node of the system is given by its program, or by the simulator. */
export interface ClusterNodeDependencies extends Omit<
  GroupDependencies<SpecState>,
  'stateMachine' | 'listener'
> {
  /** Sends one order to a worker. */
  order(address: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  /** Called when a version has come into force here. */
  onStateChange(state: GroupState<SpecState>, entry: Entry | undefined): void;
  /** Called for each cast delivered here. */
  onCast(sender: string, payload: Uint8Array): void;
  /** Called when this node joins, or rejoins, as a new incarnation. */
  onNewIncarnation(incarnation: string): void;
  /** Called when the group rejects this node, with the reason. */
  onJoinRejected(reason: string): void;
  /** Set points of placement, where they are not the usual ones. */
  readonly placing?: SpecPlacerSettings;
  /** Answers a query that an operator asked at another node. */
  answerQuery(kind: string, text: string): QueryResult;
}

/**
 * One node: its member of the group, the committed spec state, gossip, and,
 * where it holds the singleton lease, placement and orders. No socket, timer or
 * file of its own.
 * @example
 * const clusterNode = new ClusterNode(dependencies);
 * clusterNode.tick(); // every 50 ms
 * clusterNode.receive(frame);
 */
export class ClusterNode {
  #dependencies: ClusterNodeDependencies;
  #group: Group<SpecState>;
  #directory = new WorkerDirectory();
  #demand = new DemandTable();
  #gossip: WorkerGossip;
  #placement: SpecPlacementLoop;
  #queries: ForwardedQueries;
  #operations = new PendingOperations();

  constructor(dependencies: ClusterNodeDependencies) {
    this.#dependencies = dependencies;
    this.#group = this.#newGroup();
    this.#gossip = this.#newGossip();
    this.#placement = this.#newPlacement();
    this.#queries = new ForwardedQueries({
      clock: dependencies.clock,
      chance: dependencies.chance,
      send: (incarnation, body) => this.#group.sendTo(incarnation, body),
      answerQuery: (kind, text) => dependencies.answerQuery(kind, text),
    });
  }

  get group(): Group<SpecState> {
    return this.#group;
  }

  /** The state in force here. */
  get state(): SpecState {
    return this.#group.state?.application ?? EMPTY_SPEC_STATE;
  }

  /** What the research groups measured over the fleet. */
  get groups(): GroupStatus[] {
    return this.#demand.groups();
  }

  /** Names of the edges in the view. */
  get edges(): string[] {
    return (this.#group.view?.members ?? [])
      .filter((member) => member.disk === '')
      .map((member) => member.name);
  }

  /** All listed workers. */
  workers(): DirectoryWorker[] {
    return this.#directory.workers(this.state, this.#group.self.incarnation, this.#now());
  }

  /** Why a model stands where it does, if this node decided it. */
  reason(model: string): string | undefined {
    return this.#placement.reason(model);
  }

  /** Takes the platform's list; one of an older generation than the known one is ignored. */
  learnList(list: WorkerList): void {
    this.#gossip.publishList(list);
  }

  /** Casts what this edge observed. */
  observe(observation: Observation): void {
    this.#group.cast(toBinary(ObservationSchema, observation));
  }

  /**
   * Submits an operation. `done` is called once, with the committed answer; a
   * caller that cannot wait asks later by the id. Fails with `unreached`.
   */
  submit(id: string, kind: string, payload: string, done: AnswerCallback): Result<string, Fault> {
    const operation = create(OperationSchema, {
      id,
      kind,
      payload: new TextEncoder().encode(payload),
      transient: kind === 'place',
    });
    return this.#operations.submit(this.#group, operation, done);
  }

  /**
   * Forwards a query to another member. `done` is called once: with its answer,
   * or with nothing when none came in time.
   */
  query(to: string, kind: string, text: string, done: QueryCallback): void {
    this.#queries.query(to, kind, text, done);
  }

  receive(frame: Frame): void {
    this.#group.receive(frame);
  }

  tick(): void {
    const nowMs = this.#now();
    this.#group.tick();
    this.#gossip.tick(nowMs);
    this.#queries.tick();
    this.#placement.tick(nowMs);
  }

  #newGroup(): Group<SpecState> {
    const dependencies = this.#dependencies;
    return new Group<SpecState>({
      ...dependencies,
      stateMachine: SPEC_STATE_MACHINE,
      listener: {
        onVersion: (state, entry) => this.#onVersion(state, entry),
        onCast: (sender, payload) => this.#onCast(sender, payload),
        onAnswer: (answer) => this.#operations.onAnswer(answer),
        onNewIncarnation: (incarnation) => dependencies.onNewIncarnation(incarnation),
        onJoinRejected: (reason) => dependencies.onJoinRejected(reason),
        onFrame: (from, body) => this.#onFrame(from, body),
      },
      send: (address, frame) => dependencies.send(address, frame),
    });
  }

  #newGossip(): WorkerGossip {
    return new WorkerGossip({
      clock: this.#dependencies.clock,
      chance: this.#dependencies.chance,
      directory: this.#directory,
      peers: () => this.#peers(),
      send: (incarnation, body) => this.#group.sendTo(incarnation, body),
    });
  }

  #newPlacement(): SpecPlacementLoop {
    const { placing } = this.#dependencies;
    return new SpecPlacementLoop({
      ...(placing === undefined ? {} : { placing }),
      state: () => this.state,
      workers: () => this.workers(),
      demands: (nowMs) => this.#demand.models(nowMs),
      incarnation: () => this.#group.self.incarnation,
      singletonEpoch: () => this.#group.singletonEpoch(),
      order: (address, order, done) => this.#dependencies.order(address, order, done),
      onWorkerState: (worker, known) => this.#gossip.publishState(worker, known, this.#group.epoch),
      submitPlacement: (id, payload, done) => this.submit(id, 'place', payload, done),
    });
  }

  #now(): number {
    return this.#dependencies.clock.nowMs();
  }

  /** Incarnations of the other members of the view. */
  #peers(): string[] {
    const self = this.#group.self.incarnation;
    return (this.#group.view?.members ?? [])
      .map((member) => member.incarnation)
      .filter((incarnation) => incarnation !== self);
  }

  #onVersion(state: GroupState<SpecState>, entry: Entry | undefined): void {
    const incarnations = new Set(state.view.members.map((member) => member.incarnation));
    this.#directory.retainOnly(incarnations);
    this.#demand.retainOnly(incarnations);
    this.#dependencies.onStateChange(state, entry);
  }

  /** Casts that are no observation, as from a later version, are for the listener alone. */
  #onCast(sender: Member, payload: Uint8Array): void {
    this.#dependencies.onCast(sender.incarnation, payload);
    const observation = tryOrElse(
      () => undefined,
      () => fromBinary(ObservationSchema, payload),
    );
    if (observation.isErr) return;
    this.#directory.recordObservation(sender.incarnation, observation.value, this.#now());
    this.#demand.record(sender.incarnation, observation.value, this.#now());
  }

  #onFrame(from: string, body: Frame['body']): void {
    if (body.case === 'forwardedQuery') this.#queries.onQuery(from, body.value);
    else if (body.case === 'forwardedReply') this.#queries.onReply(body.value);
    else this.#gossip.onFrame(from, body);
  }
}
