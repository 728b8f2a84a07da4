import {AppError} from '../base/app-error.js';
import {type Clock} from '../base/clock.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {dropOldest, setNewest} from '../base/drop-oldest.js';
import {hashString} from '../base/hash-string.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type TextCodec} from '../base/text-codec.js';
import {differenceOf} from '../base/text-difference.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type ControlCommand} from './control-command.js';
import {routingContentMethod} from './control-methods.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {type RoutingContentReply, type RoutingContentRequest} from './routing-content-message.js';
import {type RoutingRecord} from './routing-record.js';
import {Waiters} from './waiters.js';

/** Dependencies of `RoutingContents`. */
export interface RoutingContentsOptions {
	readonly log: Pick<ReplicatedLog<ControlCommand, ControlResult>, 'onApplied'>;
	readonly state: Pick<ControlState, 'routing'>;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly codec: TextCodec;
	/** Whether this host acts as leader, so that it applies an entry at the time of its commit. */
	readonly isLeading: () => boolean;
}

/** When a configuration was applied. Other members than the leader may apply an entry long after its commit, for example after a restart. */
type AppliedTime = {readonly at: number; readonly isCommitTime: boolean};

/** Configurations kept as bases of differences. A host that has an older one gets the whole text. */
const maxRecords = 8;
/** Maximum length of the kept configurations in characters: that many of the largest ones that operators send. The newest one is always kept. */
const maxRecordsLength = 40 * 1024 * 1024;
/** Configurations of which the time is kept. */
const maxTimes = 256;
/** Differences kept encoded; most hosts ask for the same one. */
const maxEncoded = 16;
/** Length of a part of an encoded difference in characters: below 0.1 s on a link of 7 Mbit/s. */
const partLength = 64 * 1024;
/** Maximum time in milliseconds for which a request waits until this host has applied the configuration. */
const maxWaitMs = 300;

type Encoded = Omit<RoutingContentReply, 'length'>;

/** This host has not applied the requested configuration, or no longer has it. */
export class RoutingContentUnavailableError extends AppError {
	readonly code = 'routing-content-unavailable' as const;
}

/** Serves the content of routing configurations to daemons. Runs on every control host, because the content does not depend on who leads. */
export class RoutingContents implements Disposable {
	private _records: RoutingRecord[] = [];
	/** Times at which this host applied the latest configurations, by revision; undefined when it was restored from a snapshot. */
	private readonly _appliedAt = new Map<number, AppliedTime | undefined>();
	private readonly _encoded = new Map<string, Encoded>();
	private readonly _waiters: Waiters;
	private readonly _store = new DisposableStore();

	constructor(private readonly _options: RoutingContentsOptions) {
		const {
			log, state, transport, clock, isLeading,
		} = _options;
		this._waiters = this._store.add(new Waiters(clock));
		this._store.add(log.onApplied(({index}) => {
			this._update(index === state.routing?.revision ? {at: clock.now(), isCommitTime: isLeading()} : undefined);
		}));
		this._store.add(transport.handle(routingContentMethod, async req => this._reply(req)));
	}

	dispose(): void {
		this._store.dispose();
	}

	/** The first configuration after the given revision and the time at which this host applied it; undefined when that is not known. */
	replacementOf(revision: number): ({readonly revision: number} & AppliedTime) | undefined {
		// Without the revision itself, there may have been others before the first one that is known.
		if (revision === this._records.at(-1)?.revision || !this._appliedAt.has(revision)) {
			return undefined;
		}

		for (const [next, applied] of this._appliedAt) {
			if (next > revision) {
				return applied && {revision: next, ...applied};
			}
		}

		return undefined;
	}

	/** Records the configuration in place, if it is new. */
	private _update(appliedAt?: AppliedTime): void {
		const {routing} = this._options.state;
		if (!routing || routing.revision === this._records.at(-1)?.revision) {
			return;
		}

		setNewest(this._appliedAt, routing.revision, appliedAt, maxTimes);
		this._records.push(routing);
		let length = 0;
		const first = this._records.findLastIndex(({source}, index) => {
			length += source.length;
			return index < this._records.length - 1 && (length > maxRecordsLength || this._records.length - index > maxRecords);
		});
		this._records = this._records.slice(first + 1);
		this._waiters.wake();
	}

	private async _reply(req: RoutingContentRequest): Promise<RoutingContentReply> {
		this._update();
		// A transfer that has begun can be completed after its configuration or its base was dropped.
		const continued = req.continued === undefined ? undefined : this._encoded.get(keyOf(req.base, req.continued));
		if (continued) {
			return partOf(continued, req.offset);
		}

		if ((this._records.at(-1)?.revision ?? 0) < req.revision) {
			await this._waiters.wait(maxWaitMs);
		}

		const newest = this._records.at(-1);
		const record = req.continued === undefined ? newest : this._records.find(({revision}) => revision === req.continued);
		if (!record || record.revision < req.revision) {
			throw new RoutingContentUnavailableError(`revision ${req.continued ?? req.revision} is not available, the newest one is ${newest?.revision ?? 'none'}`);
		}

		const base = this._records.find(({revision}) => revision === req.base && revision < record.revision);
		return partOf(this._encode(base, record), req.offset);
	}

	private _encode(base: RoutingRecord | undefined, {version, revision, source}: RoutingRecord): Encoded {
		const baseRevision = base?.revision ?? 0;
		const key = keyOf(baseRevision, revision);
		let encoded = this._encoded.get(key);
		if (!encoded) {
			encoded = {
				version, revision, base: baseRevision, checksum: hashString(source), data: this._options.codec.encode(JSON.stringify(differenceOf(base?.source ?? '', source))),
			};
			this._encoded.set(key, encoded);
			dropOldest(this._encoded, maxEncoded);
		}

		return encoded;
	}
}

function keyOf(base: number, revision: number): string {
	return `${base}:${revision}`;
}

function partOf({data, ...encoded}: Encoded, offset: number): RoutingContentReply {
	return {...encoded, length: data.length, data: data.slice(offset, offset + partLength)};
}
