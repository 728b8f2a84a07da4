import {LogBusyError, NotLeaderError, ProposalUnknownError} from './consensus-errors.js';
import {type LogEntry} from './log-entry.js';
import {type MemberDriver} from './member-driver.js';

/** Maximum number of pending proposals. Bounds the memory of a leader that has lost its quorum. */
const maxPending = 20_000;

type PendingProposal<Result> = {term: number; resolve: (result: Result) => void; reject: (error: Error) => void};
type QueuedProposal<Command, Result> = Omit<PendingProposal<Result>, 'term'> & {command: Command};

/** Commands proposed on this member and not yet applied. */
export class Proposals<Command, Result> {
	private _queued: Array<QueuedProposal<Command, Result>> = [];
	private readonly _pending = new Map<number, PendingProposal<Result>>();

	constructor(private readonly _driver: MemberDriver, private readonly _leaderHost: () => string | undefined) {}

	/** Proposes a command; all commands proposed in the same turn of the event loop are appended together. */
	async propose(command: Command): Promise<Result> {
		return new Promise((resolve, reject) => {
			if (this._pending.size + this._queued.length >= maxPending) {
				reject(new LogBusyError());
				return;
			}

			this._queued.push({command, resolve, reject});
			if (this._queued.length === 1) {
				queueMicrotask(() => {
					this._flush();
				});
			}
		});
	}

	/** Settles the pending proposal at the index of an applied entry. */
	settle({index, term}: LogEntry, result: Result): void {
		const pending = this._pending.get(index);
		if (pending) {
			this._pending.delete(index);
			if (pending.term === term) {
				pending.resolve(result);
			} else {
				pending.reject(new ProposalUnknownError());
			}
		}
	}

	/** Rejects all pending proposals after a loss of leadership. */
	failAll(): void {
		for (const pending of this._pending.values()) {
			pending.reject(new ProposalUnknownError());
		}

		this._pending.clear();
	}

	private _flush(): void {
		const queued = this._queued;
		this._queued = [];
		let entries: LogEntry[] | undefined;
		this._driver.input((core, now) => {
			entries = core.propose(queued.map(item => item.command), now);
			for (const [position, {resolve, reject}] of queued.entries()) {
				const entry = entries?.[position];
				if (entry) {
					this._pending.set(entry.index, {term: entry.term, resolve, reject});
				}
			}
		});
		if (!entries) {
			for (const {reject} of queued) {
				reject(new NotLeaderError(this._leaderHost()));
			}
		}
	}
}
