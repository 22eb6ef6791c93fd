/** Interfaces between the gateway of a spec-based deployment and its edge node. */
import type { Spec } from '@rainrun/configuration';
import type { RandomSource, Clock, FaultKind } from '@rainrun/common';
import type { Sender } from './sender.js';

/** A worker's state as the gateway uses it. */
export interface GatewayWorker {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly pool: string;
  readonly draining: boolean;
  readonly evacuated: boolean;
  readonly reachable: boolean;
  readonly slots: number;
  readonly holdings: readonly { readonly model: string; readonly adapters: readonly string[] }[];
  /** When the worker was first reported to hold each model (key `model`) or adapter (key `model/adapter`). */
  readonly sinceMs: ReadonlyMap<string, number>;
  /** Requests that other edges have in flight at the worker. */
  readonly othersInFlight: number;
}

/** What the edge node provides to its gateway. */
export interface GatewayDependencies {
  readonly name: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly sender: Sender;
  spec(): Spec | undefined;
  workers(): readonly GatewayWorker[];
  /** Names of the edges in the view; empty while this node is in no view. */
  edges(): readonly string[];
  /** This node's incarnation in the group. */
  incarnation(): string;
  /** Whether this node holds a lease and may admit requests. */
  hasLease(): boolean;
  /** The current weight of a group: its share times the output of its control loop. */
  weight(group: string): number;
}

/** A client's request as parsed from HTTP. */
export interface GatewayRequestInit {
  readonly id: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefix: number;
  readonly streamed: boolean;
  readonly body: Uint8Array | undefined;
  /** How long the client will wait from now, in milliseconds; undefined if it names no deadline. */
  readonly deadlineMs: number | undefined;
}

/** Record of a finished request: its outcome, timing and routing decisions. */
export interface EndRecord {
  readonly id: string;
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly path: string;
  readonly stream: boolean;
  readonly prefix: number;
  readonly body: Uint8Array | undefined;
  readonly worker: string;
  readonly outcome: 'served' | 'cut' | FaultKind;
  readonly arrivedMs: number;
  readonly firstPieceMs: number | undefined;
  readonly endedMs: number;
  readonly sends: number;
  readonly trail: readonly string[];
}
