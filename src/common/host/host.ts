import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {sleep} from '../base/sleep.js';
import {ControlNode} from '../control/control-node.js';
import {ControlEntryDirectory} from '../ledger/control-entry-directory.js';
import {type LogStatus} from '../status/log-status.js';
import {EntryCore} from './entry-core.js';
import {type HostServices} from './host-services.js';
import {LeaderDuties} from './leader-duties.js';
import {VoterRole} from './voter-role.js';

/** Interval in milliseconds at which a drain checks for requests in flight. */
const drainPollMs = 50;

/** The listeners of a host, as a drain needs them. */
export interface DrainingListeners {
	/** Number of requests of callers in flight. */
	readonly activeRequests: number;
	/** Asks callers to close their keep-alive connections. */
	drain(): void;
}

/** One host without its listeners: control node, request handling and, on a voter, the logs. */
export class Host implements Disposable {
	/**
	Starts a host. It accepts requests once it has a lease.

	@throws StorageFailedError or LogCorruptError when the storage of a voter cannot be used.
	*/
	static async start(services: HostServices): Promise<Host> {
		const {cfg} = services;
		const voter = cfg.voters.has(cfg.host) ? await VoterRole.start(services) : undefined;
		return new Host(services, voter);
	}

	readonly control: ControlNode;
	readonly entry: EntryCore;
	private readonly _store = new DisposableStore();
	private readonly _onStopped = new Emitter<Error | undefined>();
	private _drain: Promise<void> | undefined;

	private constructor(private readonly _services: HostServices, private readonly _voter: VoterRole | undefined) {
		const {cfg, clock, callerAddress, controlAddress} = _services;
		this.control = this._store.add(new ControlNode({
			..._services,
			entry: {
				host: cfg.host, incarnation: Math.floor(clock.wallTime()), address: callerAddress, peerAddress: controlAddress, zone: cfg.zone,
			},
			voters: () => [...cfg.voters.keys()],
			voter: _voter?.controlLog,
			keepSeconds: cfg.keepSeconds,
		}));
		this.entry = this._store.add(new EntryCore(_services, this.control));
		if (_voter) {
			this._startVoterServices(_voter);
		}

		this.control.follower.start();
	}

	/** Raised once when the host has stopped: without an error after a drain, with an error when it cannot continue. */
	get onStopped(): Event<Error | undefined> {
		return this._onStopped.event;
	}

	get isDraining(): boolean {
		return this._drain !== undefined;
	}

	/** Status of the logs; undefined on a host that is not a voter. */
	get logs(): {readonly control: LogStatus; readonly ledger: LogStatus} | undefined {
		return this._voter?.status;
	}

	/** Stops gracefully: leaves the list of entry hosts, waits until callers have refreshed their lists and all requests have finished. */
	async drain(listeners: DrainingListeners): Promise<void> {
		this._drain ??= this._runDrain(listeners);
		return this._drain;
	}

	dispose(): void {
		this._store.dispose();
		this._voter?.dispose();
		this._onStopped.dispose();
	}

	private _startVoterServices(voter: VoterRole): void {
		this._store.add(new LeaderDuties(this._services, voter.controlLog, this.control.service!));
		voter.serveLedger(this._store.add(new ControlEntryDirectory(this.control.follower)));
		this._store.add(voter.onFatal(error => {
			this._onStopped.fire(error);
		}));
	}

	private async _runDrain(listeners: DrainingListeners): Promise<void> {
		const {cfg, clock, logger} = this._services;
		logger.info({host: cfg.host}, 'drain started');
		await this.control.drain.leave();
		listeners.drain();
		while (listeners.activeRequests > 0) {
			// eslint-disable-next-line no-await-in-loop -- waits until the last request has ended
			await sleep(clock, drainPollMs);
		}

		await this.control.follower.release();
		this._voter?.transferLeadership();
		logger.info({host: cfg.host}, 'drain finished');
		this._onStopped.fire(undefined);
	}
}
