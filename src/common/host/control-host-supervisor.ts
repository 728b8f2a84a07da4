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

/** Time in milliseconds for which a start is tried whose storage fails other than by a full disk. */
const startLimitMs = 10_000;

/** Error codes of the operating system for a full disk, which leaves the synced data unchanged. */
const fullDiskCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);
/** System calls that make data durable. It is unknown what a failed one left on the disk. */
const syncCalls: ReadonlySet<string> = new Set(['fsync', 'fdatasync']);

/**
Restarts a control host from its storage when the disk refuses an operation, until the disk accepts it again. Damaged storage and
a failed sync are fatal, because it is unknown what is on the disk then.
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

	/** Starts the host; retries after refused operations, without a limit only when the disk is full. @throws any other error of the start. */
	async start(): Promise<void> {
		const end = this._clock.now() + startLimitMs;
		while (!this._isDisposed) {
			try {
				this._host = await this._start(); // eslint-disable-line no-await-in-loop -- attempts follow each other
				this._watch(this._host);
				return;
			} catch (error) {
				if (!isDiskFull(error) && (!isRefused(error) || this._clock.now() >= end)) {
					throw error;
				}

				this._logger.warn({err: error, retryMs}, 'the disk refuses an operation, the member starts again later');
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
			if (isDiskFull(error) || isRefused(error)) {
				void this._restart(host, error);
			} else {
				this._onFatal.fire(error);
			}
		});
	}

	private async _restart(host: ControlHost, cause: AppError): Promise<void> {
		this._host = undefined;
		this._logger.warn({err: cause, retryMs}, 'the disk refuses an operation, the member starts again later');
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

type SystemError = {readonly code?: string; readonly syscall?: string};

/** Whether an error was caused by a full disk. */
function isDiskFull(error: unknown): boolean {
	return hasCause(error, ({code}) => code !== undefined && fullDiskCodes.has(code));
}

/** Whether an error was caused by an operation that the operating system refused, other than a sync. */
function isRefused(error: unknown): boolean {
	return hasCause(error, ({syscall}) => syscall !== undefined && !syncCalls.has(syscall));
}

function hasCause(error: unknown, test: (cause: SystemError) => boolean): boolean {
	for (let cause = error; cause instanceof Error; cause = cause.cause) {
		if (test(cause as SystemError)) {
			return true;
		}
	}

	return false;
}
