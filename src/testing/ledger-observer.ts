import {type StateMachine} from '../common/consensus/state-machine.js';
import {type Bill} from '../common/ledger/ledger.js';
import {type LedgerCommand} from '../common/ledger/ledger-command.js';
import {type PinRecord} from '../common/ledger/ledger-record.js';
import {type LedgerReply} from '../common/ledger/ledger-reply.js';
import {type LedgerState} from '../common/ledger/ledger-state.js';

/** Version to which a session was pinned, with the index of the log entry. */
export interface ObservedPin {
	readonly session: string;
	readonly ref: string;
	readonly logged: number;
}

type Effect = {bills: Bill[]; pins: ObservedPin[]};

/** Records the effects of each log entry at all voters, and whether the voters agree. */
export class LedgerObserver {
	readonly disagreements: string[] = [];
	/** Highest log index that any voter has applied. */
	highestIndex = 0;
	private readonly _effects = new Map<number, Effect>();

	/** Bills in log order. */
	get bills(): Bill[] {
		return [...this._effects.values()].flatMap(({bills}) => bills);
	}

	/** Pins in log order. */
	get pins(): ObservedPin[] {
		return [...this._effects.values()].flatMap(({pins}) => pins);
	}

	/** Wraps the state machine of a voter so that its effects are recorded. */
	watch(state: LedgerState): StateMachine<LedgerCommand, LedgerReply> {
		let effect: Effect = {bills: [], pins: []};
		let current = 0;
		state.onClosed(bill => effect.bills.push(bill));
		const set = state.pins.set.bind(state.pins);
		state.pins.set = (record: PinRecord, at: number) => {
			const before = state.pins.get(record)?.ref;
			const result = set(record, at);
			const after = state.pins.get(record)?.ref;
			if (after !== undefined && after !== before) {
				effect.pins.push({session: record.session, ref: after, logged: current});
			}

			return result;
		};

		return {
			apply: (index, command) => {
				effect = {bills: [], pins: []};
				current = index;
				const reply = state.apply(index, command);
				this._recordEffect(index, effect);
				return reply;
			},
			snapshot: () => state.snapshot(),
			restore(snapshot) {
				state.restore(snapshot);
			},
		};
	}

	private _recordEffect(index: number, effect: Effect): void {
		const earlier = this._effects.get(index);
		if (earlier && JSON.stringify(earlier) !== JSON.stringify(effect)) {
			this.disagreements.push(`the voters differ at index ${index}`);
		}

		this.highestIndex = Math.max(this.highestIndex, index);
		this._effects.set(index, earlier ?? effect);
	}
}
