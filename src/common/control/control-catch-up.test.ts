import {expect, it} from 'vitest';
import {LocalLog} from '../../testing/local-log.js';
import {ControlCatchUp} from './control-catch-up.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {ControlState} from './control-state.js';

const sourceBytes = 10_000;

const routing = (version: number): ControlCommand => ({type: 'apply-routing', version, source: `${version}:${'x'.repeat(sourceBytes)}`});
const other = (index: number): ControlCommand => ({type: 'next-fencing', leader: `host ${index}`});

// Guards against a daemon on a slow link that never catches up with changes in quick succession, because each reply holds all of
// them and lasts longer than its timeout.
it.each<{name: string; commands: ControlCommand[]; applied: number; maxSources: number}>([
	{
		name: 'one change', commands: [routing(1)], applied: 0, maxSources: 1,
	},
	{
		name: 'a storm of changes', commands: Array.from({length: 12}, (_, index) => routing(index + 1)), applied: 0, maxSources: 1,
	},
	{
		name: 'a storm with an older change at its end', commands: [routing(5), routing(7), routing(6)], applied: 0, maxSources: 1,
	},
	{
		name: 'changes between other commands', commands: [routing(1), other(1), routing(2), other(2), routing(3)], applied: 1, maxSources: 1,
	},
	{
		name: 'other commands after the last change', commands: [routing(1), other(1), other(2)], applied: 1, maxSources: 0,
	},
])('sends only the configuration in place: $name', async ({commands, applied, maxSources}) => {
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('leader', state);
	for (const command of commands) {
		await log.propose(command); // eslint-disable-line no-await-in-loop -- the log is ordered
	}

	const daemon = new ControlState();
	for (const entry of log.entriesAfter(0, applied)) {
		daemon.apply(entry.index, entry.command!);
	}

	const {entries, lastIndex} = new ControlCatchUp(log, state).after(applied);
	expect(JSON.stringify(entries).length).toBeLessThan((maxSources * sourceBytes) + (commands.length * 200) + 200);
	for (const {index, command} of entries) {
		if (command) {
			daemon.apply(index, command);
		}
	}

	expect(lastIndex).toBe(commands.length);
	expect(daemon.routing).toEqual(state.routing);
	expect(daemon.fencing).toBe(state.fencing);
});
