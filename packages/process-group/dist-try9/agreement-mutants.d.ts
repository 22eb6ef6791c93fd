import { type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import type { AgreementCode } from './agreement-model.js';
import type { SCOPES } from './agreement-scopes.js';
/** A mechanism taken out: in one file, one piece of text replaced by another. */
export interface Mutant {
    /** The mechanism that is taken out. */
    readonly name: string;
    /** The scope that shows it. */
    readonly scope: keyof typeof SCOPES;
    readonly file: 'acceptor.js' | 'claims.js' | 'coordinator.js' | 'play.js';
    readonly from: string;
    readonly to: string;
}
/** What is taken out, one at a time. */
export declare const MUTANTS: readonly Mutant[];
/**
 * The compiled code with one mechanism taken out.
 * @example
 * const code = await loadMutant(MUTANTS[0]);
 */
export declare function loadMutant(mutant: Mutant): Promise<Result<AgreementCode, Fault>>;
