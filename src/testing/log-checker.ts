import {type LogCluster} from './log-cluster.js';
import {type LogHost} from './log-host.js';

type Proposal = {command: string; startedAt: number; endedAt: number; outcome: number | string};

/** Records violations of the guarantees of the replicated log in a cluster. */
export class LogChecker {
	readonly violations = new Set<string>();
	readonly proposals: Proposal[] = [];
	private readonly _committed = new Map<number, string>();
	private readonly _leaders = new Map<number, string>();
	private _sequence = 0;
	private _highestAcknowledged = 0;

	constructor(private readonly _cluster: LogCluster) {}

	/** Number of acknowledged proposals. */
	get acknowledged(): number {
		return this.proposals.filter(({outcome}) => typeof outcome === 'number').length;
	}

	/** Records what a member applies, and when it becomes the leader. */
	watch({member, machine}: LogHost): void {
		for (const {index, command} of machine!.applied) {
			this._recordApplied(index, command);
		}

		member!.onApplied(({index, command}) => {
			this._recordApplied(index, command ?? '');
		});
		member!.onRoleChange(role => {
			if (role === 'leader') {
				const known = this._leaders.get(member!.term) ?? member!.identity;
				this._leaders.set(member!.term, known);
				this._require(known === member!.identity, 'two leaders in one term');
			}
		});
	}

	/** Proposes a command and records its outcome. */
	async propose(host: LogHost, command: string): Promise<void> {
		const startedAt = this._sequence++;
		let outcome: number | string;
		try {
			outcome = await host.member!.propose(command);
			this._highestAcknowledged = Math.max(this._highestAcknowledged, outcome);
		} catch (error) {
			outcome = (error as {code: string}).code;
		}

		this.proposals.push({
			command, startedAt, endedAt: this._sequence++, outcome,
		});
	}

	/** Checks the current leases: at most one member holds one, and that member has applied all acknowledged writes. */
	checkLeases(): void {
		const leased = this._cluster.members.filter(member => member.hasLease());
		this._require(leased.length <= 1, 'two members with a lease');
		this._require(leased.every(member => member.appliedIndex >= this._highestAcknowledged), 'lease without the latest acknowledged write');
	}

	/** Checks the whole history; call it after all members have caught up. */
	checkHistory(): void {
		const indexOf = new Map<string, number>();
		for (const [index, command] of this._committed) {
			this._require(command === '' || !indexOf.has(command), 'command applied twice');
			indexOf.set(command, index);
		}

		for (const {command, outcome} of this.proposals) {
			this._require(typeof outcome === 'string' || indexOf.get(command) === outcome, 'acknowledged command not at its index');
			this._require(outcome !== 'not-leader' || !indexOf.has(command), 'refused command applied');
		}

		this._checkRealTimeOrder();
		this._checkFinalStates();
	}

	private _checkFinalStates(): void {
		const acknowledged = this.proposals.filter(({outcome}) => typeof outcome === 'number');
		for (const name of this._cluster.names) {
			const applied = new Set(this._cluster.appliedAt(name));
			this._require(acknowledged.every(({command}) => applied.has(command)), 'acknowledged write lost');
		}
	}

	/** Linearizability: a proposal that ended before another one started precedes it in the log. */
	private _checkRealTimeOrder(): void {
		const acknowledged = this.proposals.filter((item): item is Proposal & {outcome: number} => typeof item.outcome === 'number');
		const byStart = [...acknowledged].sort((a, b) => a.startedAt - b.startedAt);
		const byEnd = [...acknowledged].sort((a, b) => a.endedAt - b.endedAt);
		let ended = 0;
		let highest = 0;
		for (const {startedAt, outcome} of byStart) {
			for (let next = byEnd[ended]; next && next.endedAt < startedAt; next = byEnd[++ended]) {
				highest = Math.max(highest, next.outcome);
			}

			this._require(outcome > highest, 'order contradicts real time');
		}
	}

	private _recordApplied(index: number, command: string): void {
		const known = this._committed.get(index);
		this._committed.set(index, known ?? command);
		this._require(known === undefined || known === command, 'members disagree');
	}

	private _require(holds: boolean, violation: string): void {
		if (!holds) {
			this.violations.add(violation);
		}
	}
}
