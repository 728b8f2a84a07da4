import {type AddressCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {dropOldest, setNewest} from '../base/drop-oldest.js';
import {Emitter} from '../base/emitter.js';
import {type Logger} from '../base/logger.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type CrashObserver, type CrashSuspect, sharedParts} from '../forwarding/crash-observer.js';
import {type PromptPart} from '../forwarding/forward-request.js';
import {type ServerRecord} from '../forwarding/server-pool.js';
import {
	type CrashReport, crashSection, soundMs, type SuspectRequest,
} from './crash-report.js';

/** Dependencies of `CrashRecorder`. */
export interface CrashRecorderOptions {
	readonly clock: Clock;
	readonly addresses: AddressCheck;
	readonly logger: Logger;
	readonly counters: Counters;
	/** Digests of requests under quarantine. */
	readonly quarantinedRequests: () => Iterable<string>;
}

/** A process under which connections broke. */
type Breaks = {
	readonly at: number;
	readonly address: string;
	readonly parts: Map<string, number>;
	/** Requests with the parts that are not known to be sound, by digest. */
	readonly requests: Map<string, readonly string[]>;
	hasEnded: boolean;
	/** Whether there is something that the leader does not know yet. */
	isUnreported: boolean;
};

/** Interval in milliseconds after which a part is reported again, as sound or as refused. */
const reportIntervalMs = 10_000;
/** Time in milliseconds for which the end of a process is kept for a new leader. */
const crashRetentionMs = 60_000;
const maxSoundParts = 2000;
const maxSoundRequests = 5000;
const maxRefusedParts = 200;
const maxProcesses = 200;
/** Maximum numbers of items in one report, and of parts and requests of one crash. */
const maxReported = {
	crashes: 20, sound: 64, refused: 20, parts: 128, requests: 128, soundRequests: 64,
} as const;

/** Records at an entry host which requests and prompts servers ran when they ended, and reports it with the renewals. */
export class CrashRecorder implements CrashObserver, FollowerSection<CrashReport, never>, Disposable {
	readonly section = crashSection;
	private readonly _breaks = new Map<string, Breaks>();
	/** Shared parts with complete answers, least recent first. */
	private readonly _sound = new Map<string, {at: number; reportedAt: number}>();
	/** Times of complete answers by the digest of their request, least recent first. */
	private readonly _soundRequests = new Map<string, number>();
	/** Parts that were refused, with the time of the last report. */
	private readonly _refused = new Map<string, {reportedAt: number; isDue: boolean}>();
	private readonly _urgent = new Emitter<void>();
	private _term = 0;

	constructor(private readonly _options: CrashRecorderOptions) {}

	/** Raised when the end of a process is to be reported. */
	get onUrgent() {
		return this._urgent.event;
	}

	recordComplete({digest, parts}: CrashSuspect): void {
		const now = this._options.clock.now();
		setNewest(this._soundRequests, digest, now, maxSoundRequests);
		for (const {id} of sharedParts(parts)) {
			const reportedAt = this._sound.get(id)?.reportedAt ?? -Infinity;
			setNewest(this._sound, id, {at: now, reportedAt}, maxSoundParts);
		}
	}

	isSound(parts: readonly PromptPart[]): boolean {
		return this._unproven(parts).length === 0;
	}

	isSoundRequest(digest: string): boolean {
		return (this._soundRequests.get(digest) ?? -Infinity) > this._options.clock.now() - soundMs;
	}

	recordBroken({key, server: {address}}: ServerRecord, {digest, parts}: CrashSuspect): void {
		if (this.isSoundRequest(digest)) {
			return;
		}

		const unproven = this._unproven(parts);
		let breaks = this._breaks.get(key);
		if (!breaks) {
			breaks = {
				at: this._options.clock.now(), address, parts: new Map(), requests: new Map(), hasEnded: false, isUnreported: false,
			};
			this._breaks.set(key, breaks);
			dropOldest(this._breaks, maxProcesses);
			void this._check(key, breaks);
		}

		for (const part of unproven) {
			if (breaks.parts.has(part) || breaks.parts.size < maxReported.parts) {
				breaks.parts.set(part, (breaks.parts.get(part) ?? 0) + 1);
			}
		}

		if (breaks.requests.size < maxReported.requests) {
			breaks.requests.set(digest, unproven);
		}

		if (breaks.hasEnded) {
			this._markUnreported(breaks);
		}
	}

	recordRefused(part: string): void {
		const refused = this._refused.get(part);
		if (refused) {
			refused.isDue = true;
		} else {
			this._refused.set(part, {reportedAt: -Infinity, isDue: true});
			dropOldest(this._refused, maxRefusedParts);
		}
	}

	collect(term: number): CrashReport | undefined {
		this._prune();
		if (term !== this._term) {
			this._term = term;
			this._forgetReports();
		}

		const now = this._options.clock.now();
		const since = now - reportIntervalMs;
		const report: CrashReport = {
			crashes: [...this._breaks].filter(([, {isUnreported}]) => isUnreported).slice(0, maxReported.crashes).map(([server, {
				at, address, parts, requests,
			}]) => ({
				server, address, agoMs: Math.round(now - at), parts: [...parts], requests: [...requests].map(([digest, unproven]): SuspectRequest => [digest, ...unproven]),
			})),
			sound: [...this._sound].filter(([, {at, reportedAt}]) => reportedAt <= since && at > now - soundMs).slice(0, maxReported.sound).map(([part]) => part),
			refused: [...this._refused].filter(([, {reportedAt, isDue}]) => isDue && reportedAt <= since).slice(0, maxReported.refused).map(([part]) => part),
			soundRequests: [...this._options.quarantinedRequests()].filter(digest => this.isSoundRequest(digest)).slice(0, maxReported.soundRequests),
		};
		return Object.values(report).some(items => items.length > 0) ? report : undefined;
	}

	acknowledge(_term: number, sent: CrashReport | undefined): void {
		const reportedAt = this._options.clock.now();
		for (const {server, parts, requests = []} of sent?.crashes ?? []) {
			const breaks = this._breaks.get(server);
			const reported = new Map(parts);
			if (breaks?.requests.size === requests.length && [...breaks.parts].every(([part, count]) => reported.get(part) === count)) {
				breaks.isUnreported = false;
			}
		}

		for (const part of sent?.sound ?? []) {
			const sound = this._sound.get(part);
			if (sound) {
				sound.reportedAt = reportedAt;
			}
		}

		for (const part of sent?.refused ?? []) {
			const refused = this._refused.get(part);
			if (refused) {
				refused.reportedAt = reportedAt;
				refused.isDue = false;
			}
		}
	}

	dispose(): void {
		this._urgent.dispose();
	}

	/** Shared parts of a prompt without a recent complete answer at this host. */
	private _unproven(parts: readonly PromptPart[]): string[] {
		const since = this._options.clock.now() - soundMs;
		return sharedParts(parts).map(({id}) => id).filter(id => (this._sound.get(id)?.at ?? -Infinity) <= since);
	}

	/** Finds out whether a process has ended. One that has closed a single connection still accepts others. */
	private async _check(key: string, breaks: Breaks): Promise<void> {
		const {addresses, logger, counters} = this._options;
		const hasEnded = await addresses.refusesConnections(breaks.address);
		logger.info({
			server: key, address: breaks.address, parts: [...breaks.parts.keys()], digests: [...breaks.requests.keys()], hasEnded,
		}, 'connection broke under requests that are not known to be sound');
		if (!hasEnded) {
			// A later break is checked again.
			this._breaks.delete(key);
			return;
		}

		counters.increment('forward.server-crashes');
		breaks.hasEnded = true;
		this._markUnreported(breaks);
	}

	private _markUnreported(breaks: Breaks): void {
		breaks.isUnreported = true;
		this._urgent.fire();
	}

	/** Marks everything as unreported, for a new leader. */
	private _forgetReports(): void {
		for (const breaks of this._breaks.values()) {
			breaks.isUnreported = breaks.hasEnded;
		}

		for (const item of [...this._sound.values(), ...this._refused.values()]) {
			item.reportedAt = -Infinity;
		}
	}

	private _prune(): void {
		const since = this._options.clock.now() - crashRetentionMs;
		for (const [key, {at}] of this._breaks) {
			if (at <= since) {
				this._breaks.delete(key);
			}
		}
	}
}
