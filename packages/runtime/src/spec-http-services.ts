/** HTTP interface of a node of the research groups' system: moleculer services for operators and clients. */
import { createRequire } from 'node:module';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { fault } from '@rainrun/common';
import type { Context, ServiceSchema } from 'moleculer';
import { sendFault, type ChatRequest } from './chat-completions.js';
import type { GracefulHttpServer } from './graceful-http-server.js';
import type { OperatorReply } from './operator-reply.js';
import type { SpecOperatorService } from './spec-operator-service.js';
import { splitAddress } from './peer-transport.js';

const ApiGateway = createRequire(import.meta.url)('moleculer-web') as ServiceSchema;

/** Limit for the request body of an operator call. */
const SPEC_BODY_MAX = '3mb';

/** Operator routes and the moleculer actions that answer them. */
const OPERATOR_ALIASES = {
  'GET view': 'operator.view',
  'GET spec': 'operator.spec',
  'PUT spec': 'operator.put',
  'PATCH spec': 'operator.change',
  'POST spec/check': 'operator.check',
  'GET spec/history': 'operator.history',
  'GET operations/:id': 'operator.operation',
  'GET zones': 'operator.zones',
  'POST zones/:zone/empty': 'operator.empty',
  'POST zones/:zone/restore': 'operator.restore',
  'GET workers': 'operator.workers',
  'GET groups': 'operator.groups',
  'GET counters': 'operator.counters',
  'GET status': 'operator.status',
  'GET ready': 'operator.ready',
  'GET metrics': 'operator.metrics',
  'GET explain/requests/:id': 'operator.explain',
  'GET explain/models/:model': 'operator.explainModel',
  'POST forget/:name': 'operator.forget',
} as const;

type Params = Record<string, unknown>;

/**
 * The moleculer service with the operator actions, each answered by the operator service.
 * @example
 * broker.createService(operatorActions(operators));
 */
export function operatorActions(operators: SpecOperatorService): ServiceSchema {
  return {
    name: 'operator',
    actions: {
      view: action(() => operators.readCurrent(() => operators.queries.view())),
      spec: action(() => operators.readCurrent(() => operators.queries.spec())),
      history: action(() => operators.readCurrent(() => operators.queries.history())),
      check: action((params) => operators.check(toText(params['text']))),
      put: action((params) => operators.put(toText(params['text']), readBase(params), toText(params['id']))),
      change: action((params) =>
        operators.change(params['patch'] ?? {}, readBase(params), toText(params['id'])),
      ),
      operation: action((params) => operators.operation(toText(params['id']))),
      zones: action(() => operators.readCurrent(() => operators.queries.zones())),
      empty: action((params) =>
        operators.submit('zone.empty', { zone: toText(params['zone']) }, toText(params['id'])),
      ),
      restore: action((params) =>
        operators.submit('zone.restore', { zone: toText(params['zone']) }, toText(params['id'])),
      ),
      workers: action(() => operators.queryCoordinator('workers', '')),
      groups: action(() => operators.queryCoordinator('groups', '')),
      counters: action((params) => operators.queryNodes('counters', toText(params['node']))),
      status: action((params) => operators.queryNodes('status', toText(params['node']))),
      ready: action(() => operators.queries.ready()),
      explain: action((params) => operators.explain(toText(params['id']))),
      explainModel: action((params) => operators.queryCoordinator('explainModel', toText(params['model']))),
      forget: action((params) => operators.queryCoordinator('forget', toText(params['name']))),
      metrics(ctx: Context<unknown, { $responseType?: string }>) {
        ctx.meta.$responseType = 'text/plain; version=0.0.4';
        return operators.queries.metrics();
      },
    },
  };
}

function action(run: (params: Params) => OperatorReply | Promise<OperatorReply>) {
  return async (ctx: Context<Params, { $statusCode?: number }>): Promise<unknown> => {
    const reply = await run(ctx.params);
    ctx.meta.$statusCode = reply.status;
    return reply.body;
  };
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : value === undefined ? '' : JSON.stringify(value);
}

function readBase(params: Params): number | undefined {
  return params['base'] === undefined ? undefined : Number(params['base']);
}

/** Address and limits of the HTTP server, and the handler of client requests. */
export interface ApiOptions {
  /** IP:PORT. */
  readonly address: string;
  readonly httpServer: GracefulHttpServer;
  readonly bodyMaxBytes: number;
  onClientRequest(req: ChatRequest, res: ServerResponse): void;
}

/**
 * The moleculer-web service with the routes of the HTTP server: operator calls are below `/rainrun/v1`, all
 * other paths are client requests.
 * @example
 * broker.createService(apiService({ address: '127.0.0.1:8001', httpServer, bodyMaxBytes, onClientRequest }));
 */
export function apiService(options: ApiOptions): ServiceSchema {
  const { host, port } = splitAddress(options.address);
  return {
    name: 'api',
    mixins: [ApiGateway],
    settings: {
      ip: host,
      port,
      logRequest: null,
      logRequestParams: null,
      logResponse: null,
      logRouteRegistration: null,
      onError: answerError,
      routes: [
        {
          path: '/rainrun/v1',
          mergeParams: true,
          bodyParsers: { json: { limit: SPEC_BODY_MAX } },
          aliases: OPERATOR_ALIASES,
        },
        {
          path: '/',
          bodyParsers: { raw: { type: () => true, limit: options.bodyMaxBytes } },
          aliases: {
            ':rest(.*)': (req: ChatRequest, res: ServerResponse) => options.onClientRequest(req, res),
          },
        },
      ],
    },
    methods: {
      createServer(this: { server: Server; isHTTPS: boolean; httpHandler: RequestListener }): void {
        this.server = options.httpServer.create(this.httpHandler);
        this.isHTTPS = false;
      },
    },
  };
}

/** Responds to a request that the HTTP layer could not parse or route. */
function answerError(
  _req: IncomingMessage,
  res: ServerResponse,
  thrown: Error & { type?: string; code?: number | string },
): void {
  if (thrown.type === 'entity.too.large') sendFault(res, fault('too-large', 'the body is too large'), '');
  else if (thrown.type === 'entity.parse.failed')
    sendFault(res, fault('bad-request', 'the body is not JSON'), '');
  else if (thrown.code === 404) sendFault(res, fault('not-found', 'nothing is served here'), '');
  else sendFault(res, fault('bad-request', thrown.message), '');
}
