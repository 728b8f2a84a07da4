import {type FollowerSection} from './follower-section.js';
import {type LeaderSection} from './leader-section.js';
import {renewalSection} from './renewal-section.js';

const section = renewalSection<readonly string[], readonly string[]>('voters');

/** Sends the hosts of the current voters to daemons with each renewal. */
export class VotersSource implements LeaderSection<readonly string[], readonly string[]> {
	readonly section = section;

	constructor(private readonly _voters: () => readonly string[]) {}

	reset(): void {
		// The voters come from the log and stay valid when the leader changes.
	}

	receive(): void {
		// Daemons send nothing in this section.
	}

	reply(): readonly string[] {
		return this._voters();
	}
}

/** Voters known to this daemon: those named by the leader, and the seeds from the settings. */
export class KnownVoters implements FollowerSection<readonly string[], readonly string[]> {
	readonly section = section;
	private _voters: readonly string[] = [];

	constructor(private readonly _seeds: () => readonly string[]) {}

	/** Hosts of the voters, followed by the seeds, which help when all known voters have been replaced. */
	get hosts(): readonly string[] {
		return [...new Set([...this._voters, ...this._seeds()])];
	}

	collect(): undefined {
		return undefined;
	}

	acknowledge(_term: number, _sent: readonly string[] | undefined, voters: readonly string[] | undefined): void {
		if (voters && voters.length > 0) {
			this._voters = voters;
		}
	}
}
