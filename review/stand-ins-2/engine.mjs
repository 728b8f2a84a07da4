// An engine of a plain service: registers with heartbeats, checks the instance, answers with a seal.
/* eslint-disable no-await-in-loop -- calls follow each other */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {call} from './calls.mjs';
import {ports} from './fleet.mjs';

/** Interval in milliseconds of heartbeats, and the time within which one must be acknowledged. */
const heartbeatMs = 1200;
const heartbeatTimeoutMs = 1000;

export class Engine {
	state = 'ready';
	runs = [];
	sequence = 0;
	isStopped = false;

	constructor(theCase, {id, ip, service, controls, version = 'v1', zone = 'zone-a', slots = 8, workMs = 20, delivers = async () => true}) {
		Object.assign(this, {
			case: theCase, id, ip, service, controls, version, zone, slots, workMs, delivers,
		});
		theCase.onEnd(() => this.stop());
	}

	async start() {
		this._server = http.createServer((req, res) => this._handle(req, res));
		this._server.keepAliveTimeout = 30_000;
		await new Promise((resolve, reject) => {
			this._server.once('error', reject).listen(ports.engine, this.ip, resolve);
		});
		this.case.record(`${this.id} listens at ${this.ip}:${ports.engine} for ${this.service}`);
		this._beat();
	}

	/** The process crashes: it sends nothing more. */
	stop() {
		this.isStopped = true;
		clearTimeout(this._timer);
		this._server?.close();
		this._server?.closeAllConnections();
	}

	/** Body of the next heartbeat. */
	heartbeat() {
		return JSON.stringify({
			Service: this.service, Address: `${this.ip}:${ports.engine}`, Zone: this.zone, Version: this.version, Slots: this.slots, State: this.state, ColdLeftMs: 0, Seq: ++this.sequence,
		});
	}

	/** Sends a heartbeat to one daemon after the other until one acknowledges it. @returns whether one did. */
	async announce(body = this.heartbeat()) {
		for (const control of this.controls()) {
			const {status} = await call({
				host: control.ip, port: ports.control, method: 'PUT', path: `/-/instances/${this.id}`, headers: {'content-type': 'application/json'}, body, timeoutMs: heartbeatTimeoutMs,
			});
			this.lastStatus = status;
			this.case.record(`${this.id} ${this.state} heartbeat to ${control.name}: ${status}`);
			if (status >= 200 && status < 300) {
				return true;
			}

			if (this.isStopped) {
				return false;
			}
		}

		return false;
	}

	async _beat() {
		if (!this.isStopped) {
			await this.announce();
			this._timer = setTimeout(() => {
				this._beat();
			}, heartbeatMs);
		}
	}

	_handle(req, res) {
		const id = req.headers['x-attempt-id'];
		if (req.url === '/healthz') {
			res.writeHead(200, {'x-instance-id': this.id, 'content-length': 0}).end();
			return;
		}

		const answer = (status, headers, text) => res.writeHead(status, {...(id && {'x-attempt-id': id}), ...headers, 'content-length': Buffer.byteLength(text)}).end(text);
		req.resume().once('end', () => {
			const expected = req.headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				answer(421, {'x-not-executed': '1'}, '');
				return;
			}

			this.runs.push({
				id, at: this.case.now, path: req.url, headers: req.headers,
			});
			this.case.record(`${this.id} runs ${id} ${req.method} ${req.url}`);
			setTimeout(() => answer(200, {'x-backend-seal': `${this.id}.${this.runs.length}`}, `${this.id} ${id}`), this.workMs);
		});
	}
}
