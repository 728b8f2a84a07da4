import {type Event} from '../base/event.js';
import {type RenewalSection} from './renewal-section.js';

/** Daemon side of a section of the renewal. */
export interface FollowerSection<Request, Reply> {
	readonly section: RenewalSection<Request, Reply>;
	/** Raised when the next part must not wait for the interval of the renewals. */
	readonly onUrgent?: Event<void>;
	/** Returns the part to send with the next renewal; undefined omits it. A changed term means a new leader that has received nothing yet. */
	collect(term: number): Request | undefined;
	/** Called when the leader of the term has received `sent`; `reply` is the section's part of the reply, if any. Not called when the reply is lost. */
	acknowledge(term: number, sent: Request | undefined, reply: Reply | undefined): void;
}
