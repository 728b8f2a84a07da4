import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';

/** Time in milliseconds after which a process that ended by itself is started again. */
const restartMs = 500;

/** One program of the system in its own process, as the platform starts it: the command of the deploy file with a settings file. */
export class SystemProcess {
	/** `command` is that of the deploy file, split at spaces; `settings` are the fields of the platform's settings file. */
	constructor({
		root, folder, name, command, settings, record,
	}) {
		Object.assign(this, {
			root, folder, name, command, settings, record,
		});
		this.child = undefined;
		this.starts = 0;
		/** Number of times that the process ended by itself. */
		this.ends = 0;
	}

	/** Starts the process. Only its first start may create the group of control hosts. */
	start() {
		this.isSignalled = false;
		const dataDir = path.join(this.folder, `${this.name}-data`);
		mkdirSync(dataDir, {recursive: true});
		const file = path.join(this.folder, `${this.name}.json`);
		writeFileSync(file, JSON.stringify({...this.settings, Bootstrap: this.starts === 0, ...(this.settings.MachineClass === 'core' && {DataDir: dataDir})}));
		this.starts++;
		const [program, ...args] = this.command;
		const child = spawn(program, args, {
			cwd: this.root,
			env: {PATH: process.env.PATH, HOME: this.folder, CATKINBEAM_CONFIG: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.folder, `${this.name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		child.once('exit', (code, signal) => {
			this.record.add(`${this.name} ended, code ${code}, signal ${signal}`);
			if (this.child !== child) {
				return;
			}

			this.child = undefined;
			if (!this.isSignalled) {
				// The platform starts a process again that has ended by itself.
				this.ends++;
				this._restart = setTimeout(() => {
					this.start();
				}, restartMs);
			}
		});
		this.child = child;
		this.record.add(`${this.name} started, process ${child.pid}`);
	}

	/** Whether the process runs. */
	get isRunning() {
		return this.child !== undefined;
	}

	/** Sends a signal to the process. */
	signal(name) {
		this.isSignalled = true;
		this.record.add(`${name} to ${this.name}`);
		this.child?.kill(name);
	}

	/** Ends the process, whatever its state. */
	async end() {
		this.isSignalled = true;
		clearTimeout(this._restart);
		const {child} = this;
		if (child) {
			const ended = once(child, 'exit');
			child.kill('SIGKILL');
			await ended;
		}
	}
}
