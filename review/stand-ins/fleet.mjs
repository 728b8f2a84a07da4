import {Buffer} from 'node:buffer';
import {
	existsSync, mkdtempSync, readFileSync, rmSync,
} from 'node:fs';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'node:http';
import {SystemProcess} from './system-process.mjs';
import {waitFor} from './wait.mjs';

/** Ports of the hosts; each host has a loopback address of its own. */
const ports = {
	peers: [7340, 7355], control: 8229, directory: 8224, frontend: 8227, ready: 8220, metrics: 9464,
};
const host = {control: 'core', entry: 'edge'};
const startTimeoutMs = 15_000;

/** Bounds of the platform's example of a settings file; they are those of the deployments with 5 control hosts. */
export const bounds = {
	SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
	ConfigApplyMs: 2000, RollbackSlackMs: 250, OuterBoundMs: 5000, RevokePartitioned: true, RevokeMs: 5000, BudgetRatio: 0.9,
	BudgetWindowS: 10, RetrySlack: 58, ExposureShare: 0.15, ExposureSlack: 30, RollbackMs: 5000, RecoverS: 12, IterationMs: 120,
	ReuseWindowS: 7.3, SessionS: 5, ttl_max_s: 5, // eslint-disable-line camelcase -- name of the platform
};

/** Commands of the roles in the deploy file. */
function commandsOf(root) {
	const commands = {};
	let role;
	for (const line of readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split('\n')) {
		role = /^\[roles\.(?<name>\w+)\]/v.exec(line)?.groups.name ?? role;
		const run = /^run = "(?<text>.*)"/v.exec(line)?.groups.text;
		if (role !== undefined && run !== undefined) {
			commands[role] = run.split(' ');
		}
	}

	return commands;
}

/** Sends a request and reads the answer. @returns undefined when there is none in time. */
export async function call(address, {method, target, body, timeoutMs = 1000}) {
	return new Promise(resolve => {
		const [ip, port] = address.split(':');
		const req = request({
			host: ip, port, method, path: target, headers: {'content-type': 'application/json'}, timeout: timeoutMs, agent: false,
		}, res => {
			const chunks = [];
			res.on('data', chunk => chunks.push(chunk));
			res.on('end', () => {
				resolve({status: res.statusCode, text: String(Buffer.concat(chunks))});
			});
			res.on('error', () => resolve(undefined));
		});
		req.on('timeout', () => req.destroy());
		req.on('error', () => resolve(undefined));
		req.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

/** Limits of a configuration and its tenant. */
export const limits = {
	MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
};
export const tenant = {Name: 'tenant-1', ApiKeys: ['key-of-tenant-1'], Priority: 1};
/** Header with the key of the tenant. */
export const authorization = {Authorization: `Bearer ${tenant.ApiKeys[0]}`};

/** A small deployment on loopback addresses: control hosts and entry hosts as processes, with a folder for their files. */
export class Fleet {
	constructor({
		root, record, controls = 3, entries = 2,
	}) {
		if (!existsSync(path.join(root, 'target/start.cjs'))) {
			throw new Error('target/ is not built: run the build of the deploy file');
		}

		this.record = record;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.network = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
		const commands = commandsOf(root);
		const seeds = Array.from({length: Math.min(3, controls)}, (_, at) => `${this.network}.${10 + at}:${ports.control}`);
		const create = (role, at, ip) => new SystemProcess({
			root, folder: this.folder, name: `${role}-${at + 1}`, command: commands[role], record,
			settings: {
				NodeName: `${role}-${at + 1}`, Role: role, MachineClass: host[role], Serves: role === 'control' ? ['control_plane', 'registry'] : ['edge'],
				Ip: ip, Zone: 'zone-a', Region: 'region-a', PortRange: ports.peers, Seeds: seeds, LossCounts: role === 'control',
				Discovery: 'registration', Entry: 'registry', HeartbeatMs: 1200, ConfigMode: 'highest',
				Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'rollout'],
				Zones: {'zone-a': 'region-a'},
				Listen: role === 'control' ? {Control: `${ip}:${ports.control}`, Directory: `${ip}:${ports.directory}`} : {Frontend: `${ip}:${ports.frontend}`, Ready: `${ip}:${ports.ready}`},
				Limits: {
					CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: role === 'control' ? 128 : 0,
				},
				FaultTolerance: {Machines: 1, Zones: 0, Regions: 0}, Bounds: bounds,
			},
		});
		this.controls = Array.from({length: controls}, (_, at) => create('control', at, `${this.network}.${10 + at}`));
		this.entries = Array.from({length: entries}, (_, at) => create('entry', at, `${this.network}.${40 + at}`));
		/** Addresses of the interface for operators and engines. */
		this.controlAddresses = this.controls.map(({settings}) => settings.Listen.Control);
		/** Addresses of the interface for clients. */
		this.frontends = this.entries.map(({settings}) => settings.Listen.Frontend);
		this._servers = 0;
	}

	/** A free address for an engine or a client. */
	async freeAddress(ip = `${this.network}.${100 + this._servers++}`) {
		const server = createServer().listen(0, ip);
		await once(server, 'listening');
		const {port} = server.address();
		server.close();
		await once(server, 'close');
		return {ip, port};
	}

	/** Starts all hosts and submits a configuration. Resolves when all entry hosts are ready. */
	async start(configuration) {
		for (const process of [...this.controls, ...this.entries]) {
			process.start();
		}

		await this.submit(configuration);
		await waitFor('all entry hosts ready', async () => {
			const answers = await Promise.all(this.entries.map(async ({settings}) => call(settings.Listen.Ready, {method: 'GET', target: '/-/readyz'})));
			return answers.every(answer => answer?.status === 200);
		}, startTimeoutMs);
		this.record.add('all entry hosts are ready');
	}

	/** Submits a configuration to the control hosts in turn until one acknowledges it. */
	async submit(configuration) {
		let at = 0;
		await waitFor(`acknowledgement of configuration ${configuration.Version}`, async () => {
			const answer = await call(this.controlAddresses[at++ % this.controlAddresses.length], {
				method: 'PUT', target: '/-/config', body: configuration, timeoutMs: 2000,
			});
			return answer?.status === 200;
		}, startTimeoutMs);
		this.record.add(`operator: configuration ${configuration.Version} acknowledged`);
	}

	/** Ends all processes and removes their files. */
	async close(keepsFiles = false) {
		await Promise.all([...this.controls, ...this.entries].map(async process => process.end()));
		if (!keepsFiles) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}
