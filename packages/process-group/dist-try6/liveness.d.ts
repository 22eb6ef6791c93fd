import type { Heartbeat } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
/**
 * What this node knows of the health of the others: whether they answer its
 * heartbeats and keep up with its channel, whom they suspect themselves, and
 * who has said goodbye.
 * @example
 * if (!liveness.isLive('incarnation-2', nowMs)) suspects.push('incarnation-2');
 */
export declare class Liveness<S> {
    #private;
    constructor(parts: Pick<GroupParts<S>, 'dependencies' | 'local' | 'transport'>);
    /** To be called at every tick; returns for how long this process itself was away. */
    tick(nowMs: number): number;
    /** Live: answers our heartbeats and does not lag behind our parcels beyond the bound. */
    isLive(incarnation: string, nowMs: number): boolean;
    /** Whether most members say that they cannot reach this incarnation. */
    isReported(incarnation: string): boolean;
    isUnable(incarnation: string): boolean;
    hasSaidGoodbye(incarnation: string): boolean;
    watch(incarnation: string, nowMs: number): void;
    answered(incarnation: string, nowMs: number): void;
    /** Holds an incarnation for failed, for good. */
    report(incarnation: string): void;
    onBye(incarnation: string): void;
    /** Takes what a member says of itself and the others. */
    learn(from: string, heartbeat: Heartbeat): void;
    forget(incarnation: string): void;
    /** A new view: what was said of members of the old one does not count. */
    clearReports(): void;
    clear(): void;
}
