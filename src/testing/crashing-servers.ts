import {type Clock} from '../common/base/clock.js';
import {type RandomSource} from '../common/base/random-source.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {testBackend} from './forwarder-fixture.js';
import {answerHead, type ScriptedAttempt} from './scripted-port.js';

/** Behaviour of `CrashingServers`. */
export interface CrashingServersOptions {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly count: number;
	/** Parts of prompts and targets of requests under which a server ends when it begins an answer. */
	readonly crashing: ReadonlySet<string>;
	/** Probability with which a server breaks the connection of an answer at one of its events and goes on. */
	readonly brokenConnections: number;
	/** Called with the processes in the directory when they have changed. */
	readonly onServers: (servers: readonly BackendServer[]) => void;
}

const prefillMs = 60;
const eventIntervalMs = 100;
const eventsPerAnswer = 4;
const connectMs = 1;
const restartMs = 3000;
const directoryDelayMs = 100;
const encoder = new TextEncoder();

/** A process of a simulated server. */
class ServerProcess {
	isUp = true;
	readonly running = new Set<ScriptedAttempt>();
	constructor(readonly server: BackendServer) {}
}

/** Simulated model engines that end when they begin an answer on certain parts of prompts, and start again after some seconds. */
export class CrashingServers {
	/** Times in milliseconds at which a server ended under a part or a target. */
	readonly crashedAt = new Map<string, number[]>();
	/** Times in milliseconds at which requests with a crashing part or target reached a server. */
	readonly reachedAt = new Map<string, number[]>();
	private readonly _processes = new Map<string, ServerProcess>();

	constructor(private readonly _options: CrashingServersOptions) {
		for (let index = 0; index < _options.count; index++) {
			const server = testBackend(`s${index}`, {address: `10.0.1.${index}:1`, capacity: 64});
			this._processes.set(server.address, new ServerProcess(server));
		}
	}

	get servers(): BackendServer[] {
		return [...this._processes.values()].map(({server}) => server);
	}

	/** Whether an address refuses connections. */
	refuses(address: string): boolean {
		return !this._processes.get(address)!.isUp;
	}

	/** Ends a share of the servers at the same moment. */
	endShare(share: number): void {
		for (const process of [...this._processes.values()].slice(0, Math.ceil(share * this._processes.size))) {
			this._end(process);
		}
	}

	/** Runs an attempt at its server. `subjects` are the parts of its prompt and its target. */
	receive(attempt: ScriptedAttempt, subjects: readonly string[]): void {
		const {clock} = this._options;
		const process = this._processes.get(attempt.terms.address)!;
		clock.setTimer(connectMs, () => {
			if (attempt.isAborted) {
				return;
			}

			if (!process.isUp || process.server.id !== attempt.terms.serverId) {
				attempt.events.onFailure({isUnsent: true, reason: 'ECONNREFUSED'});
				return;
			}

			const cause = subjects.find(subject => this._options.crashing.has(subject));
			if (cause !== undefined) {
				addTime(this.reachedAt, cause, clock.now());
			}

			process.running.add(attempt);
			clock.setTimer(prefillMs, () => {
				this._begin(process, attempt, cause);
			});
		});
	}

	private _begin(process: ServerProcess, attempt: ScriptedAttempt, cause: string | undefined): void {
		if (!isRunning(process, attempt)) {
			return;
		}

		attempt.events.onHead(answerHead());
		if (cause === undefined) {
			this._sendEvent(process, attempt, 1);
		} else {
			addTime(this.crashedAt, cause, this._options.clock.now());
			this._end(process);
		}
	}

	private _sendEvent(process: ServerProcess, attempt: ScriptedAttempt, id: number): void {
		const {clock, random, brokenConnections} = this._options;
		clock.setTimer(eventIntervalMs, () => {
			if (!isRunning(process, attempt)) {
				return;
			}

			if (random.next() < brokenConnections) {
				process.running.delete(attempt);
				attempt.events.onFailure({isUnsent: false, reason: 'UND_ERR_SOCKET'});
				return;
			}

			if (id > (attempt.terms.resumeAfter ?? 0)) {
				attempt.events.onData(encoder.encode(`id: ${id}\ndata: x\n\n`));
			}

			if (id < eventsPerAnswer) {
				this._sendEvent(process, attempt, id + 1);
			} else {
				process.running.delete(attempt);
				attempt.events.onEnd();
			}
		});
	}

	/** Ends a process with all requests that it runs. A new one starts at its address. */
	private _end(process: ServerProcess): void {
		if (!process.isUp) {
			return;
		}

		const {clock} = this._options;
		process.isUp = false;
		for (const attempt of process.running) {
			clock.setTimer(connectMs, () => {
				if (!attempt.isAborted) {
					attempt.events.onFailure({isUnsent: false, reason: 'UND_ERR_SOCKET'});
				}
			});
		}

		process.running.clear();
		const {server} = process;
		clock.setTimer(restartMs, () => {
			this._processes.set(server.address, new ServerProcess({...server, id: `${server.address}-${clock.now()}`}));
			clock.setTimer(directoryDelayMs, () => {
				this._options.onServers(this.servers);
			});
		});
	}
}

/** Whether a process still works on an attempt; an aborted one is removed. */
function isRunning({running}: ServerProcess, attempt: ScriptedAttempt): boolean {
	if (attempt.isAborted) {
		running.delete(attempt);
	}

	return running.has(attempt);
}

function addTime(times: Map<string, number[]>, key: string, at: number): void {
	const known = times.get(key);
	if (known) {
		known.push(at);
	} else {
		times.set(key, [at]);
	}
}
