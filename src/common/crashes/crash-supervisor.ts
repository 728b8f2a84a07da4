import {type AddressCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type ControlCommand, type QuarantinePart, type QuarantineRequest} from '../control/control-command.js';
import {type ControlLeadership} from '../control/control-leadership.js';
import {type ControlResult} from '../control/control-result.js';
import {type ControlState} from '../control/control-state.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {CrashAnalysis} from './crash-analysis.js';
import {type CrashReport, crashSection} from './crash-report.js';
import {EndedServers} from './ended-servers.js';

/** Dependencies of `CrashSupervisor`. */
export interface CrashSupervisorOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Tells whether a reported process has ended. */
	readonly addresses: AddressCheck;
}

/** Log messages by type of command. */
const quarantineMessages = {
	'quarantine-part': 'prompt part quarantined',
	'lift-part-quarantine': 'quarantine of a prompt part lifted',
	'quarantine-request': 'request quarantined',
	'lift-request-quarantine': 'quarantine of a request lifted',
} as const;

const sweepIntervalMs = 1000;
/** Time in milliseconds for which reports are collected before they are judged together; many hosts report the same end. */
const judgeDelayMs = 50;
/** Time in milliseconds after which a quarantine ends: of a part since the last request with it, of a request since its beginning, because a sound one would otherwise stay under quarantine while it is repeated. */
const quarantineMs = 600_000;

type QuarantineCommand = QuarantinePart | QuarantineRequest;

/** Quarantines, at the leader, the requests and the parts of prompts under which servers end, based on the reports of all entry hosts. */
export class CrashSupervisor implements LeaderSection<CrashReport, never>, Disposable {
	readonly section = crashSection;
	private readonly _analysis = new CrashAnalysis();
	private readonly _ended: EndedServers;
	/** Times from which this leader counts the quarantines: of a part since the last request with it, of a request since this leader knows of it. */
	private readonly _countedFrom = new Map<string, number>();
	private readonly _proposed = new Set<string>();
	private readonly _sweep: PeriodicSweep;
	private _judgement: Disposable | undefined;

	constructor(private readonly _options: CrashSupervisorOptions) {
		this._ended = new EndedServers({
			..._options, onEnded: reports => {
				for (const {crash: {server, parts, requests}, at} of reports) {
					this._analysis.recordCrash(server, at, parts, requests);
				}

				this._judgement ??= _options.clock.setTimer(judgeDelayMs, () => {
					this._judgement = undefined;
					this._quarantine();
				});
			},
		});
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._ended.sweep();
			this._quarantine();
			this._lift();
		});
	}

	reset(): void {
		this._ended.clear();
		this._analysis.clear();
		this._countedFrom.clear();
	}

	receive(_sender: RenewalSender, {crashes, sound, refused, soundRequests = []}: CrashReport): void {
		const now = this._options.clock.now();
		for (const part of sound) {
			this._analysis.recordSoundPart(part, now);
		}

		for (const digest of soundRequests) {
			this._clearRequest(digest, now);
		}

		for (const part of refused) {
			this._countedFrom.set(part, now);
		}

		for (const crash of crashes) {
			this._ended.report(crash);
		}
	}

	reply(): undefined {
		return undefined;
	}

	dispose(): void {
		this._judgement?.dispose();
		this._sweep.dispose();
	}

	private _quarantine(): void {
		const {leadership, state, clock} = this._options;
		if (!leadership.period) {
			return;
		}

		const now = clock.now();
		const {blamed, excused} = this._analysis.judgeRequests(now);
		for (const {id, servers} of blamed) {
			if (!state.quarantinedRequests.has(id)) {
				void this._propose({type: 'quarantine-request', digest: id, reason: `${servers.length} servers ended under it: ${servers.join(', ')}`});
			}
		}

		for (const digest of excused) {
			if (state.quarantinedRequests.has(digest)) {
				void this._propose({type: 'lift-request-quarantine', digest, reason: 'another request explains the ends'});
			}
		}

		for (const {id, servers, requests} of this._analysis.blameParts(state.quarantinedParts, now)) {
			void this._propose({type: 'quarantine-part', part: id, reason: `${servers.length} servers ended under ${requests} requests: ${servers.join(', ')}`});
		}
	}

	private _lift(): void {
		const {leadership, state} = this._options;
		if (!leadership.period) {
			return;
		}

		for (const part of this._expired(state.quarantinedParts)) {
			void this._propose({type: 'lift-part-quarantine', part, reason: `no requests for ${quarantineMs} ms`});
		}

		for (const digest of this._expired(state.quarantinedRequests)) {
			void this._propose({type: 'lift-request-quarantine', digest, reason: `older than ${quarantineMs} ms`});
		}
	}

	/** Returns the quarantined items whose time is over. */
	private _expired(quarantined: ReadonlyMap<string, number>): string[] {
		const now = this._options.clock.now();
		return [...quarantined.keys()].filter(id => {
			const from = this._countedFrom.get(id) ?? now;
			this._countedFrom.set(id, from);
			return now - from > quarantineMs;
		});
	}

	/** Ends the quarantine of a request that was answered completely. */
	private _clearRequest(digest: string, now: number): void {
		const {leadership, state} = this._options;
		this._analysis.recordSoundRequest(digest, now);
		if (leadership.period && state.quarantinedRequests.has(digest)) {
			void this._propose({type: 'lift-request-quarantine', digest, reason: 'it was answered completely'});
		}
	}

	private async _propose(command: QuarantineCommand): Promise<void> {
		const {log, logger} = this._options;
		const {type, reason} = command;
		const subject = 'part' in command ? {part: command.part} : {digest: command.digest};
		const id = 'part' in command ? command.part : command.digest;
		if (this._proposed.has(id)) {
			return;
		}

		this._proposed.add(id);
		try {
			await log.propose(command);
			if (type === 'lift-part-quarantine' || type === 'lift-request-quarantine') {
				this._countedFrom.delete(id);
			}

			logger.warn({...subject, reason}, quarantineMessages[type]);
		} catch (error) {
			logger.warn({...subject, reason, err: error}, 'quarantine could not be changed');
		} finally {
			this._proposed.delete(id);
		}
	}
}
