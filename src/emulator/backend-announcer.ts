import {request} from 'undici';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {type BackendLoad} from '../common/control/backend-load.js';
import {type BackendServer} from '../common/control/backend-server.js';

/** Interval in milliseconds between two announcements. */
const intervalMs = 1000;
const timeoutMs = 3000;

/** Options of `BackendAnnouncer`. */
export interface AnnouncerOptions {
	/** Returns the server to announce. Called for each announcement, because an engine may load versions. */
	readonly server: () => BackendServer;
	readonly load: () => BackendLoad;
	/** Control listeners (`host:port`) of entry hosts. When one does not accept an announcement, the next one is used. */
	readonly controlAddresses: readonly string[];
	readonly secret?: string;
	readonly clock: Clock;
}

/** Announces an emulated backend server every second, as real backend servers do. */
export class BackendAnnouncer implements Disposable {
	private _addressIndex = 0;
	private _timer: Disposable | undefined;
	private _isStopped = false;

	constructor(private readonly _options: AnnouncerOptions) {}

	/** Starts the announcements. Resolves when the first one has been accepted. */
	async start(): Promise<void> {
		// eslint-disable-next-line no-await-in-loop -- one announcement after another
		while (!this._isStopped && !await this._announce()) {
			// eslint-disable-next-line no-await-in-loop -- pause between attempts
			await new Promise<void>(resolve => {
				this._options.clock.setTimer(100, resolve);
			});
		}

		this._schedule();
	}

	/** Leaves the directory; new requests stop arriving within a few seconds. */
	async leave(): Promise<void> {
		this.dispose();
		const {id, incarnation} = this._options.server();
		await this._post('leave', {id, incarnation});
	}

	dispose(): void {
		this._isStopped = true;
		this._timer?.dispose();
	}

	private _schedule(): void {
		if (!this._isStopped) {
			this._timer = this._options.clock.setTimer(intervalMs, () => {
				void this._announce();
				this._schedule();
			});
		}
	}

	private async _announce(): Promise<boolean> {
		const isAccepted = await this._post('announce', {...this._options.server(), load: this._options.load()});
		if (!isAccepted) {
			this._addressIndex++;
		}

		return isAccepted;
	}

	private async _post(path: string, body: unknown): Promise<boolean> {
		const {controlAddresses, secret} = this._options;
		try {
			const res = await request(`http://${controlAddresses[this._addressIndex % controlAddresses.length]}/backend/v1/${path}`, {
				method: 'POST',
				signal: AbortSignal.timeout(timeoutMs),
				headers: {'content-type': 'application/json', ...(secret !== undefined && {authorization: `Bearer ${secret}`})},
				body: JSON.stringify(body),
			});
			await res.body.dump();
			return res.statusCode === 200;
		} catch {
			return false;
		}
	}
}
