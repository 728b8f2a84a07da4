import {type ServerRecord} from '../forwarding/server-pool.js';
import {type ServerWeights} from '../forwarding/server-weights.js';
import {
	maxItems, processNumber, type SpeedReply, weightStep,
} from './speed-messages.js';

/** Time in milliseconds after the last reply at which the weights begin to return to 1: three renewals. */
const freshMs = 3000;
/** Time in milliseconds in which they return to 1. */
const fadeMs = 3000;
/** Maximum number of processes with a weight, about twenty replies. */
const maxWeights = 20 * maxItems.reply;
/** Largest level in either direction that is accepted of a leader. */
const maxLevel = 30;

type Weight = {readonly term: number; readonly level: number};

/** Weights of servers as the leader has last sent them. They return to 1 when no replies arrive. */
export class ReceivedWeights implements ServerWeights {
	private readonly _weights = new Map<number, Weight>();
	/** Numbers of the processes of records; the hash of a key for each server of each choice would take most of the time of a choice. */
	private readonly _numbers = new WeakMap<Pick<ServerRecord, 'key'>, number>();
	private _term = -1;
	private _seen = 0;
	private _repliedAt = -Infinity;
	/** Time of the last reply of an earlier leader, whose weights count until this one has others. */
	private _earlierRepliedAt = -Infinity;

	of(record: Pick<ServerRecord, 'key'>, now: number): number {
		const weight = this._weights.size > 0 ? this._weights.get(this._numberOf(record)) : undefined;
		if (!weight) {
			return 1;
		}

		const ageMs = now - (weight.term === this._term ? this._repliedAt : this._earlierRepliedAt);
		const freshness = Math.min(1, (freshMs + fadeMs - ageMs) / fadeMs);
		return freshness <= 0 ? 1 : Math.exp(weight.level * weightStep * freshness);
	}

	/** Number of the last change that was received of the leader of the term. */
	seen(term: number): number {
		return term === this._term ? this._seen : 0;
	}

	/** Applies a reply. After a pause in which the weights have returned to 1, all are requested again. */
	apply(term: number, {upTo, weights}: SpeedReply, now: number): void {
		const hasExpired = now - this._repliedAt > freshMs + fadeMs;
		if (term !== this._term) {
			this._earlierRepliedAt = this._repliedAt;
			this._term = term;
		}

		this._repliedAt = now;
		if (hasExpired && this._weights.size > 0) {
			this._weights.clear();
			this._seen = 0;
			return;
		}

		this._seen = upTo;
		for (const [process, level] of weights.slice(0, maxItems.reply)) {
			if (level === 0 || !(Math.abs(level) <= maxLevel)) {
				this._weights.delete(process);
			} else if (this._weights.has(process) || this._weights.size < maxWeights) {
				this._weights.set(process, {term, level});
			}
		}

		this._dropExpired(now);
	}

	private _numberOf(record: Pick<ServerRecord, 'key'>): number {
		let number = this._numbers.get(record);
		if (number === undefined) {
			number = processNumber(record.key);
			this._numbers.set(record, number);
		}

		return number;
	}

	private _dropExpired(now: number): void {
		if (now - this._earlierRepliedAt > freshMs + fadeMs) {
			for (const [process, {term}] of this._weights) {
				if (term !== this._term) {
					this._weights.delete(process);
				}
			}
		}
	}
}
