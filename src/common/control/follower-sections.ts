import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type FollowerSection} from './follower-section.js';

/** Parts that were sent with a renewal, by section. */
export type SentParts = ReadonlyMap<FollowerSection<unknown, unknown>, unknown>;

/** Sections of the renewals of a daemon. An exception in one section does not affect the lease or the other sections. */
export class FollowerSections {
	private readonly _sections = new Set<FollowerSection<unknown, unknown>>();

	/** `_onUrgent` is called when a section asks for an early renewal. */
	constructor(private readonly _logger: Logger, private readonly _onUrgent: () => void) {}

	add<Request, Reply>(section: FollowerSection<Request, Reply>): Disposable {
		const added = section as FollowerSection<unknown, unknown>;
		this._sections.add(added);
		const subscription = added.onUrgent?.(this._onUrgent);
		return {
			dispose: () => {
				subscription?.dispose();
				this._sections.delete(added);
			},
		};
	}

	/** Collects the parts to send with the next renewal. */
	collect(term: number): SentParts {
		const sent = new Map<FollowerSection<unknown, unknown>, unknown>();
		for (const section of this._sections) {
			this._guard(section, () => {
				sent.set(section, section.collect(term));
			});
		}

		return sent;
	}

	/** Passes each section its part of the reply. */
	acknowledge(term: number, sent: SentParts, parts: Readonly<Record<string, unknown>>): void {
		for (const [section, part] of sent) {
			this._guard(section, () => {
				section.acknowledge(term, part, parts[section.section.name]);
			});
		}
	}

	private _guard({section: {name}}: FollowerSection<unknown, unknown>, action: () => void): void {
		try {
			action();
		} catch (error) {
			this._logger.error({section: name, err: error}, 'section of a renewal failed');
		}
	}
}

/** The parts by section name, as they are sent; undefined parts are omitted. */
export function partsByName(sent: SentParts): Record<string, unknown> {
	const parts: Record<string, unknown> = {};
	for (const [{section}, part] of sent) {
		if (part !== undefined) {
			parts[section.name] = part;
		}
	}

	return parts;
}
