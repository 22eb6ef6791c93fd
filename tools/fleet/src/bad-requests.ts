import { createConnection } from 'node:net';
import type { Fleet } from './fleet.js';

interface BadRequestCase {
  readonly name: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly status: number;
  readonly kind: string;
}

const CHAT_PATH = '/v1/chat/completions';
const GROUP_HEADERS = { 'rainrun-group': 'technicians', 'rainrun-kind': 'question' };

function chatBody(model: string): string {
  return JSON.stringify({ model, messages: [{ role: 'user', content: 'how high' }] });
}

const BAD_REQUESTS: readonly BadRequestCase[] = [
  {
    name: 'not JSON',
    method: 'POST',
    path: CHAT_PATH,
    headers: GROUP_HEADERS,
    body: '{',
    status: 400,
    kind: 'bad-request',
  },
  {
    name: 'no messages',
    method: 'POST',
    path: CHAT_PATH,
    headers: GROUP_HEADERS,
    body: '{"model":"model-1"}',
    status: 400,
    kind: 'bad-request',
  },
  {
    name: 'unknown model',
    method: 'POST',
    path: CHAT_PATH,
    headers: GROUP_HEADERS,
    body: chatBody('none'),
    status: 404,
    kind: 'unknown-model',
  },
  {
    name: 'unknown group',
    method: 'POST',
    path: CHAT_PATH,
    headers: { 'rainrun-group': 'none' },
    body: chatBody('model-1'),
    status: 403,
    kind: 'unknown-group',
  },
  { name: 'no route', method: 'GET', path: '/none', headers: GROUP_HEADERS, status: 404, kind: 'not-found' },
  {
    name: 'body too large',
    method: 'POST',
    path: CHAT_PATH,
    headers: GROUP_HEADERS,
    body: 'x'.repeat(5 * 1024 * 1024),
    status: 413,
    kind: 'too-large',
  },
  {
    name: 'deadline past',
    method: 'POST',
    path: CHAT_PATH,
    headers: { ...GROUP_HEADERS, 'rainrun-deadline-ms': '-5' },
    body: chatBody('model-1'),
    status: 400,
    kind: 'deadline-past',
  },
];

const OPERATOR_CASES: readonly BadRequestCase[] = [
  {
    name: 'bad spec',
    method: 'PUT',
    path: '/rainrun/v1/spec',
    body: '{"text":"{}"}',
    status: 422,
    kind: 'bad-spec',
  },
  {
    name: 'losing race',
    method: 'PATCH',
    path: '/rainrun/v1/spec',
    body: '{"base":0,"patch":{}}',
    status: 409,
    kind: 'conflict',
  },
  {
    name: 'unknown zone',
    method: 'POST',
    path: '/rainrun/v1/zones/none/empty',
    body: '{}',
    status: 404,
    kind: 'not-found',
  },
  {
    name: 'unknown operation',
    method: 'GET',
    path: '/rainrun/v1/operations/none',
    status: 404,
    kind: 'not-found',
  },
  { name: 'unknown command', method: 'GET', path: '/rainrun/v1/none', status: 404, kind: 'not-found' },
];

async function checkCase(address: string, testCase: BadRequestCase): Promise<string | undefined> {
  const reply = await fetch(`http://${address}${testCase.path}`, {
    method: testCase.method,
    headers: { 'content-type': 'application/json', ...testCase.headers },
    ...(testCase.body === undefined ? {} : { body: testCase.body }),
  });
  const text = await reply.text();
  const hasKind = text.includes(`"kind":"${testCase.kind}"`);
  return reply.status === testCase.status && hasKind
    ? undefined
    : `${testCase.name}: ${reply.status} ${text.slice(0, 200)}`;
}

/** Sends headers that never end and expects the node to answer 408 and close the connection on its own. */
function checkEndlessHeaders(address: string): Promise<string | undefined> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = createConnection({ host, port: Number(port) });
    let text = '';
    const timeout = setTimeout(() => {
      socket.destroy();
      resolve('headers that never end: the connection stayed open');
    }, 20_000);
    socket.write('GET / HTTP/1.1\r\nhost: x\r\nx-more: ');
    socket.on('data', (part: Buffer) => {
      text += part.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timeout);
      resolve(text.includes(' 408 ') ? undefined : `headers that never end: answered "${text.slice(0, 40)}"`);
    });
  });
}

/**
 * Sends malformed and invalid requests to a running fleet, and checks the status and error kind of each
 * answer. Also checks that all nodes return the same outcome of one operation, the same spec, the same
 * spec history and the same zones. Returns a description of each deviation.
 * @example
 * const faults = await checkBadRequests(fleet);
 */
export async function checkBadRequests(fleet: Fleet): Promise<string[]> {
  const faults: string[] = [];
  const edge = fleet.edges[0]?.http ?? '';
  const endless = checkEndlessHeaders(edge);
  for (const testCase of BAD_REQUESTS)
    faults.push(...[await checkCase(edge, testCase)].filter((fault) => fault !== undefined));
  for (const testCase of OPERATOR_CASES) {
    for (const { http } of [fleet.nodes[0], fleet.edges[0]].filter((node) => node !== undefined)) {
      faults.push(...[await checkCase(http, testCase)].filter((fault) => fault !== undefined));
    }
  }
  const id = `once-${Date.now()}`;
  const first = await fleet.ask(edge, 'POST', `/rainrun/v1/zones/north/restore`, { id });
  const second = await fleet.ask(fleet.nodes[1]?.http ?? '', 'POST', `/rainrun/v1/zones/north/restore`, {
    id,
  });
  const asked = await fleet.ask(fleet.nodes[2]?.http ?? '', 'GET', `/rainrun/v1/operations/${id}`);
  const answers = [first, second, asked].map((reply) => JSON.stringify(reply));
  if (new Set(answers).size !== 1) faults.push(`one operation has several answers: ${answers.join(' ')}`);
  for (const path of ['spec', 'spec/history', 'zones']) {
    const replies = await Promise.all(
      fleet.nodes.map((node) => fleet.ask(node.http, 'GET', `/rainrun/v1/${path}`)),
    );
    if (new Set(replies.map((reply) => JSON.stringify(reply))).size !== 1)
      faults.push(`${path} is not the same at every node`);
  }
  faults.push(...[await endless].filter((fault) => fault !== undefined));
  return faults;
}
