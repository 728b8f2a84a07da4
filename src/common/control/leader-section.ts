import {type RenewalSection} from './renewal-section.js';

/** The process that sent a renewal. */
export interface RenewalSender {
	readonly host: string;
	readonly incarnation: number;
}

/** Leader side of a section of the renewal. */
export interface LeaderSection<Request, Reply> {
	readonly section: RenewalSection<Request, Reply>;
	/** Discards all received data; called when this host starts to act as leader. */
	reset(): void;
	/** Handles a part sent by a daemon. The same part may arrive late and more than once. */
	receive(sender: RenewalSender, part: Request): void;
	/** Returns the section's part of the reply; undefined omits it. `isGranted` tells whether the reply grants a lease. */
	reply(sender: RenewalSender, isGranted: boolean): Reply | undefined;
}

/** Identifies a process among all that renew. */
export function senderKey({host, incarnation}: RenewalSender): string {
	return `${host}#${incarnation}`;
}
