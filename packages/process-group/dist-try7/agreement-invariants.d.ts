import { type Message } from './agreement-messages.js';
/**
 * What is wrong with a message, given all that were sent before it; undefined
 * when nothing is.
 * @example
 * violation(sent, { kind: 'elected', from: { machine: 'a', life: 1 }, epoch: 2 });
 */
export declare function violation(sent: readonly Message[], message: Message): string | undefined;
