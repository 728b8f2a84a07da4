import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type LeaderSection, type RenewalSender} from './leader-section.js';

/** Sections of the renewals at the leader. An exception in one section does not affect the leases or the other sections. */
export class LeaderSections {
	private readonly _sections = new Set<LeaderSection<unknown, unknown>>();

	constructor(private readonly _logger: Logger, private readonly _counters: Counters) {}

	add<Request, Reply>(section: LeaderSection<Request, Reply>): Disposable {
		const added = section as LeaderSection<unknown, unknown>;
		this._sections.add(added);
		return {dispose: () => this._sections.delete(added)};
	}

	reset(): void {
		for (const section of this._sections) {
			this._guard(section, () => {
				section.reset();
			});
		}
	}

	/** Passes each section its part of a renewal. */
	receive(sender: RenewalSender, parts: Readonly<Record<string, unknown>>): void {
		for (const section of this._sections) {
			const part = parts[section.section.name];
			if (part !== undefined) {
				this._guard(section, () => {
					section.receive(sender, part);
				});
			}
		}
	}

	/** Collects the parts of a reply by section name. */
	reply(sender: RenewalSender, isGranted: boolean): Record<string, unknown> {
		const parts: Record<string, unknown> = {};
		for (const section of this._sections) {
			this._guard(section, () => {
				const part = section.reply(sender, isGranted);
				if (part !== undefined) {
					this._counters.increment('control.section-items', Array.isArray(part) ? part.length : 1, {section: section.section.name});
					parts[section.section.name] = part;
				}
			});
		}

		return parts;
	}

	private _guard({section: {name}}: LeaderSection<unknown, unknown>, action: () => void): void {
		try {
			action();
		} catch (error) {
			this._logger.error({section: name, err: error}, 'section of a renewal failed');
		}
	}
}
