/** The fixtures of names and forms that are public: what produces each from today's code. */
import {
  faultAnswers,
  operatorCalls,
  platformBodies,
  platformNames,
  visitorExchanges,
} from './http-samples.js';
import { platformSettings, programSettings } from './settings-samples.js';

/** One fixture, with the words of its test. */
export interface PublicNameFixture {
  readonly name: string;
  readonly given: string;
  readonly then: string;
  produce(): unknown;
}

/** Every fixture of public names. */
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
    produce: faultAnswers,
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
    produce: visitorExchanges,
  },
];
