/** The interface between the programs and the platform that they run on: settings, names and formats. */
import type { OperatorCall, OperatorFormat, RevocationGuardSettings } from '@rainrun/cluster-node';
import type { Fault } from '@rainrun/common';
import type { HeaderNames } from '@rainrun/router';
import type { QuotaBounds } from '@rainrun/quotas';
import type { ListedWorker, ReportReply, WorkerOrder, WorkerOrderReply } from '@rainrun/placement';
import type { Result } from 'true-myth';

export type { OperatorCall } from '@rainrun/cluster-node';

/** The settings of a node that runs on a platform, in our terms. */
export interface PlatformSettings {
  readonly name: string;
  readonly zone: string;
  /** Region of each zone. */
  readonly regions: Readonly<Record<string, string>>;
  /** IP number of this machine. */
  readonly host: string;
  /** Ports at which nodes may listen for each other, the same on every machine. */
  readonly ports: readonly [first: number, last: number];
  /** IP numbers of machines that are cores. */
  readonly seeds: readonly string[];
  /** True only at the first start of the whole system. */
  readonly founding: boolean;
  readonly folder: string;
  /** So many machines with a disk may be lost at once. */
  readonly toleratedLosses: number;
  /** Addresses IP:PORT; empty where this node does not serve them. */
  readonly listenAddresses: {
    readonly clients: string;
    readonly readiness: string;
    readonly operators: string;
  };
  readonly provider: { readonly address: string; readonly callsPerS: number; readonly lagMs: number };
  readonly retries: { readonly ratio: number; readonly extra: number };
  /** How far the requests of a tenant, over all edges, may go above its limit. */
  readonly quota: QuotaBounds;
  /** When a key that was taken away must no longer be served. */
  readonly revocation: RevocationGuardSettings;
  readonly graceMs: number;
  readonly memoryMb: number;
}

/** Names of the headers that an edge reads from its clients, lower case. */
export interface ClientHeaderNames {
  readonly requestId: string;
  readonly deadlineMs: string;
  readonly model: string;
  readonly prefix: string;
  readonly tokens: string;
  readonly lastEventId: string;
  /** The key of a tenant's client; never forwarded. */
  readonly apiKey: string;
  /** The name of the key's tenant, which only an edge sets; never forwarded as a client sent it. */
  readonly tenant: string;
}

/** One page of the platform's list. */
export interface ListPage {
  readonly workers: readonly ListedWorker[];
  readonly next: string | undefined;
}

/** What a platform calls things that an edge meets. */
export interface EdgeDialect {
  readonly clientHeaderNames: ClientHeaderNames;
  readonly workerHeaderNames: HeaderNames;
  readonly readinessPath: string;
}

/** What a platform calls things: it only translates, and decides nothing. */
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
  /** What a worker says it holds; one that cannot be read is no answer. */
  readReport(text: string): ReportReply;
  readOrderReply(status: number): WorkerOrderReply;
}
