import {type AppError} from '../base/app-error.js';
import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type Logger} from '../base/logger.js';
import {sleep} from '../base/sleep.js';
import {ControlUnavailableError} from '../control/control-errors.js';
import {type ControlHost} from './control-host.js';

/** Time in milliseconds until a member whose disk is full restarts; by then an operator or a compaction may have freed space. */
const retryMs = 1000;

/** Error codes of the operating system for a refused write that left the synced data unchanged. */
const refusedWriteCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/**
Restarts a control host from its storage when the disk refuses writes, until the disk accepts writes again. Any other storage
failure is fatal, because it is unknown what a failed sync left on the disk.
*/
export class ControlHostSupervisor implements Disposable {
	private _host: ControlHost | undefined;
	private _isDisposed = false;
	private readonly _onFatal = new Emitter<AppError>();

	constructor(private readonly _start: () => Promise<ControlHost>, private readonly _clock: Clock, private readonly _logger: Logger) {}

	/** Raised when the host cannot continue; the process must end. */
	get onFatal(): Event<AppError> {
		return this._onFatal.event;
	}

	/** The running host. @throws ControlUnavailableError while there is none. */
	get host(): ControlHost {
		if (!this._host) {
			throw new ControlUnavailableError('the member of the control group waits for its disk');
		}

		return this._host;
	}

	/** Starts the host; retries after refused writes. @throws any other error of the start. */
	async start(): Promise<void> {
		while (!this._isDisposed) {
			try {
				this._host = await this._start(); // eslint-disable-line no-await-in-loop -- attempts follow each other
				this._watch(this._host);
				return;
			} catch (error) {
				if (!isRefusedWrite(error)) {
					throw error;
				}

				this._logger.warn({err: error, retryMs}, 'the disk takes no writes, the member starts again later');
				await sleep(this._clock, retryMs); // eslint-disable-line no-await-in-loop -- waits between attempts
			}
		}
	}

	/** Transfers the leadership, if the host has it, before a planned stop. */
	transferLeadership(): void {
		this._host?.transferLeadership();
	}

	dispose(): void {
		this._isDisposed = true;
		this._host?.dispose();
		this._onFatal.dispose();
	}

	private _watch(host: ControlHost): void {
		host.onFatal(error => {
			if (isRefusedWrite(error)) {
				void this._restart(host, error);
			} else {
				this._onFatal.fire(error);
			}
		});
	}

	private async _restart(host: ControlHost, cause: AppError): Promise<void> {
		this._host = undefined;
		this._logger.warn({err: cause, retryMs}, 'the disk takes no writes, the member starts again later');
		try {
			await host.close();
			await sleep(this._clock, retryMs);
			await this.start();
			this._logger.info({}, 'the member of the control group has restarted');
		} catch (error) {
			this._onFatal.fire(error as AppError);
		}
	}
}

/** Whether an error was caused by a refused write. */
function isRefusedWrite(error: unknown): boolean {
	for (let cause = error; cause instanceof Error; cause = cause.cause) {
		if (refusedWriteCodes.has((cause as {code?: string}).code ?? '')) {
			return true;
		}
	}

	return false;
}
