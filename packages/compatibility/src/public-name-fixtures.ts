/** The fixtures of names and forms that are public: what produces each from today's code. */
import { daemonCommands, rainrunCommands } from './command-line-samples.js';
import { gatewayCounters, routerCounters } from './data-plane-counters.js';
import { operatorCalls, platformBodies, platformNames } from '@rainrun/platform/testing/format-samples';
import { platformSettings } from '@rainrun/platform/testing/settings-samples';
import { faultResponses, clientExchanges } from './http-samples.js';
import { platformCounterNames, siteMetricsAndAnswers } from './node-samples.js';
import { programSettings } from './settings-samples.js';

/** One fixture, with the words of its test. */
export interface PublicNameFixture {
  readonly name: string;
  readonly given: string;
  readonly then: string;
  produce(): unknown;
}

/** Settings, metrics, and what goes over HTTP. */
export const PUBLIC_NAME_FIXTURES: readonly PublicNameFixture[] = [
  {
    name: 'settings/program.json',
    given: 'settings of the programs core and edge, each key set, left out and wrong',
    then: 'they are read, completed and refused',
    produce: programSettings,
  },
  {
    name: 'settings/platform.json',
    given: 'settings of the programs on a platform, each key set, left out and wrong',
    then: 'they are read, completed and refused',
    produce: platformSettings,
  },
  {
    name: 'http/faults.json',
    given: 'every kind of fault',
    then: 'its status, whether the work may have run and when to come back are',
    produce: faultResponses,
  },
  {
    name: 'http/platform-names.json',
    given: 'the headers and paths of a platform',
    then: 'they are called',
    produce: platformNames,
  },
  {
    name: 'http/operator-calls.json',
    given: 'calls of operators on a platform with every name of a configuration',
    then: 'they become the same operations, and are answered',
    produce: operatorCalls,
  },
  {
    name: 'http/platform-bodies.json',
    given: "the platform's list, reports of workers and orders to them",
    then: 'they are read and written',
    produce: platformBodies,
  },
  {
    name: 'http/visitors.json',
    given: 'requests of visitors of a site, with every header and every way to be answered',
    then: 'they are read and answered',
    produce: clientExchanges,
  },
  {
    name: 'metrics/router.json',
    given: 'every way for a request to end at an edge of a platform',
    then: 'it is counted, refused and sent to workers',
    produce: routerCounters,
  },
  {
    name: 'metrics/gateway.json',
    given: 'every way for a request to end at an edge of a site',
    then: 'it is counted, refused and sent to workers',
    produce: gatewayCounters,
  },
  {
    name: 'metrics/site.json',
    given: 'a core and an edge of a site that run',
    then: 'their metrics have the same names, and their answers to operators the same form,',
    produce: siteMetricsAndAnswers,
  },
  {
    name: 'metrics/platform.json',
    given: 'a core and an edge on a platform that stop',
    then: 'the counters that they log are called',
    produce: platformCounterNames,
  },
];

/** What programs say at the command line; each command is a process of its own, so these take longer. */
export const COMMAND_LINE_FIXTURES: readonly PublicNameFixture[] = [
  {
    name: 'command-line/rainrun.json',
    given: 'every command of rainrun with every option, and every kind of answer of a node',
    then: 'what is sent, printed and exited with is',
    produce: rainrunCommands,
  },
  {
    name: 'command-line/daemons.json',
    given: 'daemons that do not start',
    then: 'what they print and exit with is',
    produce: daemonCommands,
  },
];
