import {spawn, type ChildProcess} from 'node:child_process';
import {
	appendFileSync, createWriteStream, existsSync, readdirSync, renameSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {type Clock} from '../common/base/clock.js';

/** Time in milliseconds between the two stop signals. */
const secondSignalMs = 300;
/** Time in milliseconds after which a process that ended by itself is started again, as supervisors do. */
const restartMs = 300;
/** Flags of `deploy/system.toml`, for which the code cache was made. */
const flags = ['--max-old-space-size=200', '--max-semi-space-size=4'];
/** Prefix of the names of log segment files. */
const segmentPrefix = 'log-';

/** Options of `SoakProcess`. */
export interface ProcessOptions {
	readonly clock: Clock;
	readonly role: 'control' | 'entry';
	readonly name: string;
	/** Path of the built program for the first start. */
	readonly program: string;
	/** Folder for settings, data and logs. */
	readonly folder: string;
	/** Name of the environment variable with the path of the settings file. */
	readonly settingsVariable: string;
	/** Returns the content of the settings file for a start; `isFirst` tells whether it is the first start. */
	readonly settings: (isFirst: boolean, dataDir: string) => string;
	/** Called when the process has ended although it was neither killed nor stopped, or in another way than a stop. */
	readonly onOwnEnd: (end: {readonly code: number | undefined; readonly signal: string | undefined; readonly ageMs: number}) => void;
}

/** A program of the system in its own process, controlled only by signals. */
export class SoakProcess {
	private _child: ChildProcess | undefined;
	/** Processes that were stopped, which may end by the stop signal or with code 0. */
	private readonly _stopped = new WeakSet<ChildProcess>();
	private _isClosed = false;
	private _isPaused = false;
	private _startCount = 0;
	private _program: string;

	constructor(private readonly _options: ProcessOptions) {
		this._program = _options.program;
	}

	get isRunning(): boolean {
		return this._child !== undefined && !this._isPaused;
	}

	start(): void {
		if (this._child) {
			return;
		}

		const {
			role, name, folder, settings, settingsVariable,
		} = this._options;
		const file = path.join(folder, `${name}.json`);
		writeFileSync(file, settings(this._startCount++ === 0, this._dataDir));
		const child = spawn(process.execPath, [...flags, this._program, role], {
			env: Object.fromEntries([['PATH', process.env.PATH], [settingsVariable, file]]), stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		const startedAt = this._options.clock.now();
		child.once('exit', (code, signal) => {
			if (this._child !== child) {
				return;
			}

			this._child = undefined;
			this._isPaused = false;
			if (!this._stopped.has(child) || (code !== 0 && signal !== 'SIGTERM' && signal !== 'SIGKILL')) {
				this._options.onOwnEnd({code: code ?? undefined, signal: signal ?? undefined, ageMs: Math.round(this._options.clock.now() - startedAt)});
				this._options.clock.setTimer(restartMs, () => {
					if (!this._isClosed) {
						this.start();
					}
				});
			}
		});
		this._child = child;
	}

	/** Sets the path of the built program for later starts. */
	setProgram(program: string): void {
		this._program = program;
	}

	kill(): void {
		this._child?.kill('SIGKILL');
		this._child = undefined;
		this._isPaused = false;
	}

	/** Sends SIGHUP, on which the process reloads its settings, also while it starts or stops. */
	requestReload(): void {
		this._child?.kill('SIGHUP');
	}

	/** Kills the process for good. */
	close(): void {
		this._isClosed = true;
		this.kill();
	}

	pause(): void {
		this._isPaused = this._child?.kill('SIGSTOP') ?? false;
	}

	resume(): void {
		this._child?.kill('SIGCONT');
		this._isPaused = false;
	}

	/** Sends SIGTERM twice, as process supervisors may do, and SIGKILL after the grace time. Resolves when the process has exited. */
	async stop(graceMs: number): Promise<void> {
		const child = this._child;
		if (!child) {
			return;
		}

		this._stopped.add(child);
		const {clock} = this._options;
		const secondSignal = clock.setTimer(secondSignalMs, () => {
			child.kill('SIGTERM');
		});
		const graceTimer = clock.setTimer(graceMs, () => {
			child.kill('SIGKILL');
		});
		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
			child.kill('SIGTERM');
		});
		secondSignal.dispose();
		graceTimer.dispose();
	}

	/** Kills the process and takes its data folder away, as a lost disk does. */
	killAndWipe(): void {
		this.kill();
		this.wipe();
	}

	/** Takes the data folder away. It is not deleted, because that takes seconds on a busy disk and would pause the soak. */
	wipe(): void {
		if (existsSync(this._dataDir)) {
			renameSync(this._dataDir, `${this._dataDir}.lost-${this._startCount}`);
		}
	}

	/** Kills the process and appends an incomplete write to its log, as a power failure may leave it. */
	killWithTornWrite(bytes: Uint8Array): void {
		this.kill();
		for (const file of this._newestSegment()) {
			appendFileSync(file, bytes);
		}
	}

	private get _dataDir(): string {
		return path.join(this._options.folder, this._options.name);
	}

	private _newestSegment(): string[] {
		const folder = path.join(this._dataDir, 'control');
		try {
			return readdirSync(folder).filter(file => file.startsWith(segmentPrefix)).sort().slice(-1).map(file => path.join(folder, file));
		} catch {
			// The process was killed before it created its folder.
			return [];
		}
	}
}
