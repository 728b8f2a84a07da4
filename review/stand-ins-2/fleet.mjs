// The platform's side: starts the programs by the commands of the deploy file, gives them their settings, and restarts those that end.
/* eslint-disable no-await-in-loop -- attempts follow each other */
import {spawn} from 'node:child_process';
import {
	mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {sleep} from './case.mjs';

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** Ports, the same on all machines. The metrics port is that of the deploy file. */
export const ports = {
	peer: 7340, control: 8229, directory: 8224, callers: 8227, ready: 8220, engine: 8080, metrics: 9464,
};
/** Delay in milliseconds until a process that has ended is started again. */
const restartMs = 300;

/** Bounds of the small deployments. */
/* eslint-disable camelcase -- names of the platform */
export const bounds = {
	SeedLagS: 3,
	ReuseAfterS: 2,
	ContactMs: 3000,
	AckMs: 4000,
	CatchUpS: 4,
	DrainMs: 2000,
	GraceS: 8,
	LossSlackMs: 200,
	ConfigApplyMs: 2000,
	RollbackSlackMs: 250,
	OuterBoundMs: 5000,
	RevokePartitioned: true,
	RevokeMs: 5000,
	BudgetRatio: 0.9,
	BudgetWindowS: 10,
	RetrySlack: 58,
	ExposureShare: 0.15,
	ExposureSlack: 30,
	RollbackMs: 5000,
	RecoverS: 12,
	IterationMs: 120,
	ReuseWindowS: 7.3,
	SessionS: 5,
	ttl_max_s: 5,
};
/* eslint-enable camelcase */

function commands() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return Object.fromEntries([...text.matchAll(/\[roles\.(\w+)]\s*run = "([^"]+)"/g)].map(([, role, run]) => [role, run.split(' ')]));
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => resolve(false));
		server.listen(port, host, () => server.close(() => resolve(true)));
	});
}

/** Draws a loopback network on which the ports are free. */
export async function drawNetwork() {
	for (let tries = 0; tries < 50; tries++) {
		const network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 256)}`;
		const free = await Promise.all(Object.values(ports).map(async port => isFree(`${network}.1`, port)));
		if (free.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no free loopback network');
}

/** One machine with one process. */
export class Machine {
	_starts = 0;
	_isUp = false;

	constructor(fleet, {role, name, ip, zone}) {
		Object.assign(this, {
			fleet, role, name, ip, zone,
		});
		this.folder = path.join(fleet.case.folder, name);
		this.dataDir = path.join(this.folder, 'data');
		mkdirSync(this.folder, {recursive: true});
		this.isBootstrap = true;
	}

	get pid() {
		return this._child?.pid;
	}

	start() {
		this._isUp = true;
		this._spawn();
	}

	/** The machine is gone: its process is killed and not started again. */
	powerOff() {
		this._isUp = false;
		this._child?.kill('SIGKILL');
	}

	/** Its disk is lost, and it starts again at its address with an empty one. */
	loseDisk() {
		rmSync(this.dataDir, {recursive: true, force: true});
		this.isBootstrap = false;
	}

	signal(name) {
		this._child?.kill(name);
	}

	get isRunning() {
		return this._child !== undefined;
	}

	_settings() {
		const isEntry = this.role === 'entry';
		return {
			NodeName: this.name, Role: this.role, MachineClass: isEntry ? 'edge' : 'core', Serves: isEntry ? ['edge'] : ['control_plane', 'registry'], Ip: this.ip, Zone: this.zone, Region: 'region',
			PortRange: [ports.peer, ports.peer + 15], Seeds: this.fleet.seeds, Bootstrap: this.isBootstrap, LossCounts: !isEntry, Discovery: 'registration', Entry: 'registry', HeartbeatMs: 1200,
			Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'rollout'], ConfigMode: 'highest',
			Zones: {'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region'},
			Listen: isEntry ? {Frontend: `${this.ip}:${ports.callers}`, Ready: `${this.ip}:${ports.ready}`} : {Control: `${this.ip}:${ports.control}`, Directory: `${this.ip}:${ports.directory}`},
			Limits: {
				CpuShare: isEntry ? 0.675 : 0.405, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: isEntry ? 0 : 128,
			},
			FaultTolerance: {Machines: 1, Zones: 0, Regions: 0}, Bounds: bounds, ...(!isEntry && {DataDir: this.dataDir}),
		};
	}

	_spawn() {
		const file = path.join(this.folder, 'boot.json');
		writeFileSync(file, JSON.stringify(this._settings()));
		mkdirSync(this.dataDir, {recursive: true});
		const [program, ...args] = this.fleet.commands[this.role];
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root, env: {
				PATH, HOME, ...(LANG && {LANG}), CATKINBEAM_CONFIG: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this._child = child;
		this.fleet.case.record(`${this.name} started, bootstrap ${this.isBootstrap}`);
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', data => writeFileSync(path.join(this.folder, 'log'), data, {flag: 'a'}));
		}

		child.once('exit', async (code, signal) => {
			this.fleet.case.record(`${this.name} ended, code ${code}, signal ${signal}`);
			if (this._child === child) {
				this._child = undefined;
			}

			await sleep(restartMs);
			if (this._isUp && !this._child && !this.fleet.isClosed) {
				this._spawn();
			}
		});
	}
}

/** The machines of a small deployment. */
export class Fleet {
	isClosed = false;
	commands = commands();
	machines = [];

	static async create(theCase, {controls = 5, entries = 2} = {}) {
		const fleet = new Fleet(theCase, await drawNetwork());
		const zones = ['zone-a', 'zone-b', 'zone-c'];
		fleet.controls = Array.from({length: controls}, (_, index) => new Machine(fleet, {
			role: 'control', name: `core-${index + 1}`, ip: fleet.address(10 + index), zone: zones[index % 3],
		}));
		fleet.entries = Array.from({length: entries}, (_, index) => new Machine(fleet, {
			role: 'entry', name: `edge-${index + 1}`, ip: fleet.address(30 + index), zone: zones[index % 3],
		}));
		fleet.seeds = fleet.controls.slice(0, 3).map(({ip}) => `${ip}:${ports.control}`);
		fleet.machines = [...fleet.controls, ...fleet.entries];
		return fleet;
	}

	constructor(theCase, network) {
		this.case = theCase;
		this.network = network;
		theCase.onEnd(() => {
			this.isClosed = true;
			for (const machine of this.machines) {
				machine.powerOff();
			}
		});
	}

	address(number) {
		return `${this.network}.${number}`;
	}

	start() {
		for (const machine of this.machines) {
			machine.start();
		}
	}
}
