// A configuration adds a route and a tenant whose name has a character that Latin-1 lacks; its clients send a few requests a second.
/* eslint-disable no-await-in-loop -- in the order of time */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {call, configuration} from '../stand-ins-2/calls.mjs';
import {Case, sleep} from '../stand-ins-2/case.mjs';
import {configure, deploy, whenReady} from '../stand-ins-2/deployment.mjs';
import {Engine} from '../stand-ins-2/engine.mjs';
import {bounds, ports} from '../stand-ins-2/fleet.mjs';

const sentMs = 40_000;
/** The end of that time in milliseconds, for the record. */
const lastMs = 15_000;
const intervalMs = 200;
const deadlineMs = 1500;
const timeoutMs = 1000;
/** Requests from which the rule holds. */
const minRequests = 20;

const theCase = new Case(path.dirname(fileURLToPath(import.meta.url)));
const route = (name, prefix) => ({
	Name: name, PathPrefix: prefix, RouteType: 'non_idempotent', Service: 'orders', TimeoutMs: timeoutMs,
});
const first = {...route('r-1', '/orders/'), tenant: {Name: 'North Rentals', ApiKeys: ['key-1']}};
const added = {...route('r-2', '/bikes/'), tenant: {Name: theCase.hasTrouble ? 'Joe’s Bikes' : 'Joe\'s Bikes', ApiKeys: ['key-2']}};
const services = [{Name: 'orders', MaxConns: 110}];
const versionOf = (number, routes) => configuration(number, {
	routes: routes.map(({tenant: _, ...fields}) => fields), services, tenants: routes.map(({tenant}) => tenant),
});
const answers = [];

/** Sends requests of one route at a fixed interval to the entry machines by turns. */
async function send(fleet, {Name: name, PathPrefix: prefix, tenant: {Name: tenant, ApiKeys: [key]}}) {
	const sent = [];
	const end = theCase.now + sentMs;
	for (let number = 1; theCase.now < end; number++) {
		const entry = fleet.entries[number % fleet.entries.length];
		const id = `${name}-${number}`;
		const sendOne = async () => {
			const at = theCase.now;
			const headers = {
				host: 'shop.example', 'x-attempt-id': id, 'x-deadline-ms': String(deadlineMs), authorization: `Bearer ${key}`,
			};
			const {status, text} = await call({
				host: entry.ip, port: ports.callers, method: 'POST', path: `${prefix}${number}`, headers, body: 'x', timeoutMs: deadlineMs + 500,
			});
			theCase.record(`${id} of ${tenant} to ${entry.name}: ${status} ${text.slice(0, 60)}`);
			answers.push({name, at, isServed: status === 200});
		};

		sent.push(sendOne());
		await sleep(intervalMs);
	}

	await Promise.all(sent);
}

const shareOf = list => list.filter(({isServed}) => isServed).length / list.length;
const percent = share => `${Math.round(100 * share)} %`;

await theCase.run(async () => {
	const fleet = await deploy(theCase, versionOf(1, [first]));
	for (const number of [1, 2, 3]) {
		await new Engine(theCase, {
			id: `i-${number}`, ip: fleet.address(60 + number), service: 'orders', controls: () => fleet.controls,
		}).start();
	}

	if (!await whenReady(fleet) || !await configure(theCase, fleet, versionOf(2, [first, added]), bounds.AckMs)) {
		throw new Error('the entry machines are not ready, or the second configuration was not acknowledged');
	}

	await sleep(bounds.ConfigApplyMs);
	const startedAt = theCase.now;
	await Promise.all([first, added].map(async sender => send(fleet, sender)));
	const [ofFirst, ofAdded] = [first, added].map(({Name: name, tenant}) => {
		const own = answers.filter(answer => answer.name === name);
		const late = own.filter(({at}) => at >= startedAt + sentMs - lastMs);
		theCase.record(`${name} (${tenant.Name}): ${percent(shareOf(own))} of ${own.length} requests served; of those in the last ${lastMs / 1000} s ${percent(shareOf(late))}`);
		return own;
	});
	return ofAdded.length < minRequests || shareOf(ofAdded) >= shareOf(ofFirst) / 4;
});
