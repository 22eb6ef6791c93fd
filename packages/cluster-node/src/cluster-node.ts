/**
 * A node of the spec family: wires the process group to gossip, placement, forwarded queries and
 * observations.
 */
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

/** Collaborators and callbacks that the node's program or the simulator supplies. */
export interface ClusterNodeDependencies extends Omit<
  GroupDependencies<SpecState>,
  'stateMachine' | 'listener'
> {
  /** Sends one order to a worker. */
  order(address: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  /** Called each time this node applies a version of the replicated state. */
  onStateChange(state: GroupState<SpecState>, entry: Entry | undefined): void;
  /** Called for each cast that is delivered to this node. */
  onCast(sender: string, payload: Uint8Array): void;
  /** Called when this node joins, or rejoins, as a new incarnation. */
  onNewIncarnation(incarnation: string): void;
  /** Called when the group rejects this node, with the reason. */
  onJoinRejected(reason: string): void;
  /** Settings of the placer; SPEC_PLACER_SETTINGS if absent. */
  readonly placing?: SpecPlacerSettings;
  /** Answers an operator's query that another node forwarded. */
  answerQuery(kind: string, text: string): QueryResult;
}

/**
 * One node: a member of the process group that replicates the spec state,
 * takes part in gossip and, while it holds the singleton lease, places models
 * and sends orders to workers. It owns no socket, timer or file.
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

  /** The newest spec state that this node has applied; the empty one before the first. */
  get state(): SpecState {
    return this.#group.state?.application ?? EMPTY_SPEC_STATE;
  }

  /** Measures of the research groups, aggregated over all edges. */
  get groups(): GroupStatus[] {
    return this.#demand.groups();
  }

  /** Names of the edges in the view: its members without a disk. */
  get edges(): string[] {
    return (this.#group.view?.members ?? [])
      .filter((member) => member.disk === '')
      .map((member) => member.name);
  }

  /** All workers of the platform's list, as this node knows them. */
  workers(): DirectoryWorker[] {
    return this.#directory.workers(this.state, this.#group.self.incarnation, this.#now());
  }

  /** The reason for the current placement of a model, if this node decided it. */
  reason(model: string): string | undefined {
    return this.#placement.reason(model);
  }

  /** Publishes the platform's worker list by gossip; a list older than the known generation is ignored. */
  learnList(list: WorkerList): void {
    this.#gossip.publishList(list);
  }

  /** Casts this edge's observation to the group. */
  observe(observation: Observation): void {
    this.#group.cast(toBinary(ObservationSchema, observation));
  }

  /**
   * Submits an operation. `done` is called once, with the committed answer; a
   * caller that does not wait can ask for the answer later, by the id. Returns
   * the id, or the fault `unreached` if no coordinator can be reached.
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
   * Forwards a query to the member of incarnation `to`. `done` is called once,
   * with the answer or, after the time-out, with undefined.
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

  /**
   * Passes a cast to `onCast`, and records it if it can be decoded as an observation; one of a later version
   * may not be.
   */
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
