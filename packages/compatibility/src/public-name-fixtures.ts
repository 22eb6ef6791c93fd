/** The fixtures of public names and formats, with the functions that produce them from the current code. */
import { daemonCommands, rainrunCommands } from './command-line-samples.js';
import { gatewayCounters, routerCounters } from './data-plane-counters.js';
import { operatorCalls, platformBodies, platformNames } from '@rainrun/platform/testing/format-samples';
import { platformSettings } from '@rainrun/platform/testing/settings-samples';
import { faultResponses, clientExchanges } from './http-samples.js';
import { platformCounterNames, siteMetricsAndAnswers } from './node-samples.js';
import { programSettings } from './settings-samples.js';

/** One fixture, with the parts of its test's titles. */
export interface PublicNameFixture {
  readonly name: string;
  readonly given: string;
  readonly then: string;
  produce(): unknown;
}

/** The fixtures of settings, metrics and HTTP interfaces. */
export const PUBLIC_NAME_FIXTURES: readonly PublicNameFixture[] = [
  {
    name: 'settings/program.json',
    given: 'settings of the programs core and edge, with each key set, omitted and invalid',
    then: 'they are read, completed with defaults and rejected',
    produce: programSettings,
  },
  {
    name: 'settings/platform.json',
    given: 'settings of the programs on a platform, with each key set, omitted and invalid',
    then: 'they are read, completed with defaults and rejected',
    produce: platformSettings,
  },
  {
    name: 'http/faults.json',
    given: 'every kind of fault',
    then: 'its status, its statement whether the work may have run and its retry delay are',
    produce: faultResponses,
  },
  {
    name: 'http/platform-names.json',
    given: 'the headers and paths of a platform',
    then: 'they have the same names',
    produce: platformNames,
  },
  {
    name: 'http/operator-calls.json',
    given: 'operator calls on a platform that use every name of a configuration',
    then: 'they become the same operations and get the same responses',
    produce: operatorCalls,
  },
  {
    name: 'http/platform-bodies.json',
    given: "the platform's list of workers, reports of workers and orders to them",
    then: 'they are decoded and encoded',
    produce: platformBodies,
  },
  {
    name: 'http/visitors.json',
    given: 'requests of clients of a site, with every header and every kind of response',
    then: 'they are parsed and answered',
    produce: clientExchanges,
  },
  {
    name: 'metrics/router.json',
    given: 'every outcome of a request at an edge of a platform',
    then: 'the request is counted, rejected and sent to workers',
    produce: routerCounters,
  },
  {
    name: 'metrics/gateway.json',
    given: 'every outcome of a request at an edge of a site',
    then: 'the request is counted, rejected and sent to workers',
    produce: gatewayCounters,
  },
  {
    name: 'metrics/site.json',
    given: 'a running core and a running edge of a site',
    then: 'their metrics have the same names and their responses to operators the same shape',
    produce: siteMetricsAndAnswers,
  },
  {
    name: 'metrics/platform.json',
    given: 'a core and an edge on a platform that are stopped',
    then: 'the counters that they log have the same names',
    produce: platformCounterNames,
  },
];

/** The fixtures of the command line. They take longer, because each command is a separate process. */
export const COMMAND_LINE_FIXTURES: readonly PublicNameFixture[] = [
  {
    name: 'command-line/rainrun.json',
    given: 'every command of rainrun with every option and every kind of response of a node',
    then: 'the calls that it sends, its output and its exit code are',
    produce: rainrunCommands,
  },
  {
    name: 'command-line/daemons.json',
    given: 'daemons that do not start',
    then: 'their output and their exit codes are',
    produce: daemonCommands,
  },
];
