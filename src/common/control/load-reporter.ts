import {type Clock} from '../base/clock.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type BackendLoad} from './backend-load.js';
import {type BackendRef} from './backend-observation.js';
import {loadSection, type LoadReply, type LoadRequest} from './backend-sections.js';
import {type FollowerSection} from './follower-section.js';
import {fromLoadTuple, toLoadTuple, type AgedLoad} from './load-tuple.js';

/** Load of a backend server as this daemon received it; `at` is the local monotonic time in milliseconds to which it refers. */
export interface ReceivedLoad extends BackendRef, BackendLoad {
	readonly at: number;
}

/** Sends the loads of the backend servers registered here and receives those of the subset of this daemon. */
export class LoadReporter implements FollowerSection<LoadRequest, LoadReply> {
	readonly section = loadSection;
	private readonly _onLoads = new Emitter<readonly ReceivedLoad[]>();
	private readonly _onSubset = new Emitter<ReadonlySet<string>>();
	private _subset: ReadonlySet<string> | undefined;
	private _digest: string | undefined;

	constructor(private readonly _registrar: {loads(): AgedLoad[]}, private readonly _clock: Clock) {}

	/** Raised with the loads that a renewal returned. */
	get onLoads(): Event<readonly ReceivedLoad[]> {
		return this._onLoads.event;
	}

	/** Raised when the subset has changed. */
	get onSubset(): Event<ReadonlySet<string>> {
		return this._onSubset.event;
	}

	/** Ids of the backend servers that this daemon uses; undefined until the leader has sent them. */
	get subset(): ReadonlySet<string> | undefined {
		return this._subset;
	}

	collect(): LoadRequest {
		return {loads: this._registrar.loads().map(load => toLoadTuple(load)), subsetDigest: this._digest};
	}

	acknowledge(_term: number, _sent: LoadRequest | undefined, reply: LoadReply | undefined): void {
		if (reply?.subset) {
			this._digest = reply.subset.digest;
			this._subset = new Set(reply.subset.ids);
			this._onSubset.fire(this._subset);
		}

		if (reply && reply.loads.length > 0) {
			const now = this._clock.now();
			this._onLoads.fire(reply.loads.map(tuple => {
				const {ageMs, ...load} = fromLoadTuple(tuple);
				return {...load, at: now - ageMs};
			}));
		}
	}
}
