import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {call} from './fleet.mjs';

const heartbeatMs = 1200;

/** A sound engine: it announces itself, and answers requests that name it with `answer(request, response, run)`. */
export class Engine {
	constructor({
		fleet, name, service, answer, slots = 64, version = 'v1',
	}) {
		Object.assign(this, {
			fleet, name, service, answer, slots, version,
		});
		this.id = `i-${name}`;
		this.born = Date.now();
		this.sequence = 0;
		this.runs = [];
		this.isLeaving = false;
		this.sockets = new Set();
		this.server = createServer((req, res) => {
			this._receive(req, res);
		});
		this.server.keepAliveTimeout = 20_000;
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** Starts to listen and announces the engine until it is acknowledged. */
	async start() {
		this.address ??= await this.fleet.freeAddress();
		this.server.listen(this.address.port, this.address.ip);
		await once(this.server, 'listening');
		while (!await this.announce('ready')) {/* Repeats until a control host acknowledges. */} // eslint-disable-line no-await-in-loop -- one after the other
		this.fleet.record.add(`engine ${this.name} (${this.id}) is registered`);
		this._timer = setInterval(() => {
			this.announce('ready');
		}, heartbeatMs);
	}

	/** Sends a heartbeat to the address that the last answer named, or else to one control host after the other. @returns whether one acknowledged it. */
	async announce(state) {
		const body = {
			Service: this.service, Address: `${this.address.ip}:${this.address.port}`, Zone: 'zone-a', Version: this.version, Slots: this.slots, State: state,
			ColdLeftMs: 0, Seq: ++this.sequence, born: this.born,
		};
		const named = this._heartbeatAddress;
		this._heartbeatAddress = undefined;
		for (const address of [...(named === undefined ? [] : [named]), ...this.fleet.controlAddresses]) {
			// eslint-disable-next-line no-await-in-loop -- the next host is asked when one does not acknowledge
			const answer = await call(address, {method: 'PUT', target: `/-/instances/${this.id}`, body});
			if (answer?.status === 200) {
				this._heartbeatAddress = JSON.parse(answer.text || '{}').HeartbeatAddr;
				return true;
			}
		}

		return false;
	}

	/** Announces that the engine leaves, until a control host acknowledges it. From then on its answers say so too. */
	async drain() {
		clearInterval(this._timer);
		this.isLeaving = true;
		while (!await this.announce('draining')) {/* Repeats until a control host acknowledges. */} // eslint-disable-line no-await-in-loop -- one after the other
	}

	/** Tells a control host that the engine has gone. */
	async leave() {
		for (const address of this.fleet.controlAddresses) {
			// eslint-disable-next-line no-await-in-loop -- the next host is asked when one does not acknowledge
			const answer = await call(address, {method: 'DELETE', target: `/-/instances/${this.id}`, body: {born: this.born}});
			if (answer?.status === 200) {
				return;
			}
		}
	}

	/** Crashes: all connections are reset and no new ones are accepted. */
	crash() {
		clearInterval(this._timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Starts again after a crash, as a new process with a new id. */
	async restart() {
		this.id += '-again';
		this.born = Date.now();
		this.sequence = 0;
		await this.start();
	}

	close() {
		clearInterval(this._timer);
		this.server.closeAllConnections();
		this.server.close();
	}

	async _receive(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const id = req.headers['x-attempt-id'];
		if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== this.id) {
			res.writeHead(421, {'x-attempt-id': id, 'x-not-executed': '1', 'content-length': 0}).end();
			return;
		}

		const run = {
			id, model: req.headers['x-model'], after: req.headers['last-event-id'], engine: this.name,
		};
		this.runs.push(run);
		this.fleet.record.add(`engine ${this.name} runs ${id}${run.model === undefined ? '' : `, model ${run.model}`}${run.after === undefined ? '' : `, after event ${run.after}`}`);
		this.answer({req, id, body: Buffer.concat(chunks)}, res, run);
	}

	/** Headers that each answer to a request has. */
	headersOf(id) {
		return {
			'x-attempt-id': id, 'x-backend-seal': `seal.${this.id}.${id}`, 'x-weight-versions': '1', ...(this.isLeaving && {'server-leaving': '1'}),
		};
	}
}
