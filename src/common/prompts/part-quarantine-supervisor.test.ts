import {expect, it} from 'vitest';
import {LocalLog} from '../../testing/local-log.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {nullLogger} from '../base/null-logger.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlLeadership} from '../control/control-leadership.js';
import {type ControlResult} from '../control/control-result.js';
import {ControlState} from '../control/control-state.js';
import {type CrashReport} from './crash-report.js';
import {PartQuarantineSupervisor} from './part-quarantine-supervisor.js';

const sender = {host: 'h', incarnation: 1};
const nothing: CrashReport = {crashes: [], sound: [], refused: []};
const ended = (server: string): CrashReport => ({...nothing, crashes: [{server, agoMs: 0, parts: [['bad', 1]]}]});
const minuteMs = 60_000;

async function quarantine() {
	const clock = new ManualClock();
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('leader', state);
	const create = () => new PartQuarantineSupervisor({
		log, state, clock, logger: nullLogger, leadership: {period: {}} as unknown as ControlLeadership,
	});
	const supervisor = create();
	for (const server of ['s1', 's2', 's3']) {
		supervisor.receive(sender, ended(server));
		await clock.advance(500); // eslint-disable-line no-await-in-loop -- the ends follow each other
	}

	expect([...state.quarantinedParts.keys()]).toEqual(['bad']);
	return {
		clock, state, supervisor, create,
	};
}

// Guards against a quarantine that ends while such requests still come, and against one that never ends.
it('keeps a quarantine while requests come and ends it some time after the last one', async () => {
	const {clock, state, supervisor} = await quarantine();
	for (let minute = 0; minute < 30; minute++) {
		supervisor.receive(sender, {...nothing, refused: ['bad']});
		await clock.advance(minuteMs); // eslint-disable-line no-await-in-loop -- the requests follow each other
	}

	expect(state.quarantinedParts.size).toBe(1);
	await clock.advance(10 * minuteMs);
	expect(state.quarantinedParts.size).toBe(0);
});

// Guards against a change of the leader or a restart of all hosts that lets the requests through again.
it('keeps a quarantine when another leader follows, and in a snapshot', async () => {
	const {clock, state, supervisor, create} = await quarantine();
	supervisor.dispose();
	const next = create();
	next.reset();
	await clock.advance(9 * minuteMs);
	expect(state.quarantinedParts.size).toBe(1);
	const restored = new ControlState();
	restored.restore(structuredClone(state.snapshot()));
	expect([...restored.quarantinedParts.keys()]).toEqual(['bad']);
});
