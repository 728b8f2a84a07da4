import {type QuarantinePart, type QuarantineRequest} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {QuarantineTable} from './quarantine-table.js';

const maxParts = 100;
const maxRequests = 1000;

/** Requests and parts of prompts under quarantine because servers end under them, part of the control state. */
export class CrashQuarantines {
	/** Parts of prompts by ID. */
	readonly parts = new QuarantineTable(maxParts);
	/** Requests by digest. */
	readonly requests = new QuarantineTable(maxRequests);

	apply(index: number, command: QuarantinePart | QuarantineRequest): ControlResult {
		switch (command.type) {
			case 'quarantine-part': {
				return this.parts.add(index, command.part);
			}

			case 'lift-part-quarantine': {
				return this.parts.remove(index, command.part);
			}

			case 'quarantine-request': {
				return this.requests.add(index, command.digest);
			}

			case 'lift-request-quarantine': {
				return this.requests.remove(index, command.digest);
			}
		}
	}
}
