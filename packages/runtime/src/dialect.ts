/** The interface between the programs and the platform that they run on: settings, names and formats. */
import type { OperatorCall, OperatorFormat, RevocationGuardSettings } from '@rainrun/cluster-node';
import type { Fault } from '@rainrun/common';
import type { HeaderNames } from '@rainrun/router';
import type { QuotaBounds } from '@rainrun/quotas';
import type { ListedWorker, ReportReply, WorkerOrder, WorkerOrderReply } from '@rainrun/placement';
import type { Result } from 'true-myth';

export type { OperatorCall } from '@rainrun/cluster-node';

/** The settings of a node on a platform, independent of the platform's own names. */
export interface PlatformSettings {
  readonly name: string;
  readonly zone: string;
  /** Region of each zone. */
  readonly regions: Readonly<Record<string, string>>;
  /** IP number of this machine. */
  readonly host: string;
  /** Range of ports at which nodes listen for peers, the same on every machine. */
  readonly ports: readonly [first: number, last: number];
  /** IP numbers of the machines that run cores. */
  readonly seeds: readonly string[];
  /** True only at the first start of the whole system. */
  readonly founding: boolean;
  readonly folder: string;
  /** Number of machines with a disk that may be lost at the same time. */
  readonly toleratedLosses: number;
  /** IP:PORT for each kind of caller; empty if this node does not serve it. */
  readonly listenAddresses: {
    readonly clients: string;
    readonly readiness: string;
    readonly operators: string;
  };
  readonly provider: { readonly address: string; readonly callsPerS: number; readonly lagMs: number };
  readonly retries: { readonly ratio: number; readonly extra: number };
  /** How far a tenant's requests, summed over all edges, may exceed its limit. */
  readonly quota: QuotaBounds;
  /** When a revoked API key must no longer be served. */
  readonly revocation: RevocationGuardSettings;
  readonly graceMs: number;
  readonly memoryMb: number;
  /** Descriptors that the process may have open. */
  readonly openFiles: number;
}

/** Names, in lower case, of the headers that an edge reads from client requests. */
export interface ClientHeaderNames {
  readonly requestId: string;
  readonly deadlineMs: string;
  readonly model: string;
  readonly prefix: string;
  readonly tokens: string;
  readonly lastEventId: string;
  /** The API key of a tenant's client; never forwarded. */
  readonly apiKey: string;
  /** The name of the key's tenant, which only an edge sets; a client's own value is never forwarded. */
  readonly tenant: string;
}

/** One page of the platform's worker list. */
export interface ListPage {
  readonly workers: readonly ListedWorker[];
  readonly next: string | undefined;
}

/** The names of headers and paths on a platform that an edge uses. */
export interface EdgeDialect {
  readonly clientHeaderNames: ClientHeaderNames;
  readonly workerHeaderNames: HeaderNames;
  readonly readinessPath: string;
}

/**
 * Translates between the names and formats of a platform and those of this project; it makes no decisions.
 */
export interface Dialect extends EdgeDialect, OperatorFormat {
  readonly orderPath: string;
  readonly reportPath: string;
  readSettings(text: string): Result<PlatformSettings, Fault[]>;
  readCall(
    method: string,
    path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    body: string,
  ): Result<OperatorCall, Fault>;
  listPath(next: string | undefined): string;
  readPage(text: string): Result<ListPage, Fault>;
  writeOrder(order: WorkerOrder, holder: string): string;
  /** Parses a worker's report of its holdings; an unreadable report counts as `no-answer`. */
  readReport(text: string): ReportReply;
  readOrderReply(status: number): WorkerOrderReply;
}
