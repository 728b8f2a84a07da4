// Calls of the operator, of engines and of clients.
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Sends a request. @returns status and text; a status of 0 means no complete answer. `hasClosed`: the other side closed the connection; `isKept`: it had served an earlier request. */
export async function call({host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1000, agent = false}) {
	return new Promise(resolve => {
		const req = http.request({
			host, port, method, path, headers: {...headers, ...(body !== undefined && {'content-length': Buffer.byteLength(body)})}, agent,
		}, res => {
			let text = '';
			res.setEncoding('utf8').on('data', data => {
				text += data;
			});
			res.once('end', () => {
				clearTimeout(timer);
				resolve({status: res.statusCode, text});
			});
			res.once('error', fail);
		});
		let hasClosed = true;
		const timer = setTimeout(() => {
			hasClosed = false;
			req.destroy(new Error('no answer in time'));
		}, timeoutMs);
		const fail = error => {
			clearTimeout(timer);
			resolve({
				status: 0, text: error.message, hasClosed, isKept: req.reusedSocket,
			});
		};

		req.once('error', fail);
		req.end(body);
	});
}

/** Routes and services in the form of the protocol page. */
export function configuration(version, {routes, services, keys = ['key-1'], limits = {}, tenants}) {
	return JSON.stringify({
		Version: version,
		Routes: routes.map(route => ({
			TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 1, MaxAttempts: 1, Anonymous: false, Hostname: 'shop.example', ...route,
		})),
		Services: services.map(service => ({
			HealthPath: '/healthz', MaxConns: 100, Protocol: 'h1', Tls: false, ...service,
		})),
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, ...limits,
		},
		Tenants: tenants ?? [{Name: 'tenant-1', ApiKeys: keys, Priority: 1}],
	});
}
