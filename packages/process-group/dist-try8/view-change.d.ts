import { type Flush, type Stop, type View } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type ViewChangeParts<S> = Pick<GroupParts<S>, 'casts' | 'coordination' | 'coordinatorWatch' | 'dependencies' | 'directory' | 'discovery' | 'election' | 'leases' | 'liveness' | 'local' | 'transport' | 'versions'>;
/**
 * Takes this node from one view to the next: it stops its casts at the
 * coordinator's word, hands over what may be missing elsewhere, and opens the
 * new view once that is in force. A node that was left out starts anew.
 * @example
 * viewChange.onStop('incarnation-1', stop); // answers with a flush
 */
export declare class ViewChange<S> {
    #private;
    constructor(parts: ViewChangeParts<S>);
    /** Whether a change is under way that leaves this member out: it is granted nothing any more. */
    isLeavingOut(incarnation: string): boolean;
    onStop(from: string, stop: Stop): void;
    /** Stops the casts of this view and hands over those that may be missing elsewhere. */
    flush(epoch: number, change: number, staying: readonly string[]): Flush;
    /** Makes a view the one in force here; casts begin with `open`. */
    enter(view: View): void;
    /** Lets in what came before its view, once the view has been announced. */
    open(): void;
    /** Leaves the view, if any, and looks for the group as a new member. */
    rejoin(): void;
}
export {};
