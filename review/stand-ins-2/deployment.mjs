// A small deployment that is ready for requests: machines, a first configuration, and what the cases ask of them.
import {call} from './calls.mjs';
import {until} from './case.mjs';
import {Fleet, ports} from './fleet.mjs';

/** Time in milliseconds within which a sound system acknowledges the first configuration. */
const startMs = 20_000;

/** Sends a configuration to the control machines by turns until one acknowledges it. @returns whether one did in time. */
export async function configure(theCase, fleet, body, timeoutMs) {
	let turn = 0;
	return until(async () => {
		const control = fleet.controls[turn++ % fleet.controls.length];
		const {status, text} = await call({
			host: control.ip, port: ports.control, method: 'PUT', path: '/-/config', headers: {'content-type': 'application/json'}, body,
		});
		theCase.record(`configuration to ${control.name}: ${status} ${text.slice(0, 80)}`);
		return status === 200;
	}, timeoutMs, 200);
}

/** Starts the machines and waits for the first configuration. @throws Error when it is not acknowledged. */
export async function deploy(theCase, configuration) {
	const fleet = await Fleet.create(theCase);
	fleet.start();
	if (!await configure(theCase, fleet, configuration, startMs)) {
		throw new Error('the first configuration was not acknowledged');
	}

	return fleet;
}

/** Waits until the entry machines say that they are ready. */
export async function whenReady(fleet) {
	return until(async () => {
		const answers = await Promise.all(fleet.entries.map(async ({ip}) => call({host: ip, port: ports.ready, path: '/-/readyz'})));
		return answers.every(({status}) => status === 200);
	}, startMs, 100);
}
