import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {LocalLog} from '../../testing/local-log.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {RecordingLogger} from '../../testing/recording-logger.js';
import {ColdServerWatch} from './cold-server-watch.js';
import {evacuationVersion} from './command-versions.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {ControlState} from './control-state.js';

/** Creates the watch of a member with servers in zone `z`, of which those of service `slow` are cold for 5 s after their start and others for 3 s. */
function createWatch() {
	const clock = new ManualClock();
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('self', state);
	log.groupCommandVersion = evacuationVersion;
	const member = {isLeader: true, failures: 0, proposals: 0};
	const start = () => new ColdServerWatch({
		log: Object.create(log, {
			propose: {
				async value(command: ControlCommand) {
					member.proposals++;
					if (member.failures-- > 0) {
						throw new Error('no majority');
					}

					return log.propose(command);
				},
			},
		}) as typeof log,
		state,
		leadership: {
			get period() {
				return member.isLeader
					? {
						term: 1, since: 0, oldLeasesEndAt: 0, fencing: 1,
					}
					: undefined;
			},
		},
		clock,
		logger: new RecordingLogger(),
		coldStartMs: service => service === 'slow' ? 5000 : 3000,
	});
	const join = async (coldMs?: number, services = ['s'], incarnation = 1) => log.propose({
		type: 'backend-joined', server: testBackend('a', {incarnation, services, ...(coldMs !== undefined && {coldMs})}), at: 0,
	});
	const evacuate = async () => log.propose({
		type: 'evacuate-zone', zone: 'z', base: 0, at: 0,
	});
	const endEvacuation = async () => log.propose({
		type: 'end-evacuation', zone: 'z', base: state.evacuations.get('z')!.revision, at: 0,
	});
	const isCold = () => state.backendServers.get('a')?.coldSince !== undefined;
	return {
		clock, state, log, member, start, join, evacuate, endEvacuation, isCold,
	};
}

type Watch = ReturnType<typeof createWatch>;

/** Margin after the stated time, and twice the interval at which marks are checked. */
const marginMs = 500;
const sweepsMs = 200;

// Guards against marks that are taken back while a server is still cold, and against servers that stay cold for ever.
it.each<{name: string; coldUntil: number; play: (watch: Watch) => Promise<void>}>([
	{
		name: 'the time that the server states', coldUntil: 2000, async play({start, join}) {
			start();
			await join(2000);
		},
	},
	{
		name: 'the time of its service after an evacuation', coldUntil: 3000, async play({start, join, evacuate, endEvacuation}) {
			start();
			await join();
			await evacuate();
			await endEvacuation();
		},
	},
	{
		name: 'the longest time of its services', coldUntil: 5000, async play({start, join, evacuate, endEvacuation}) {
			start();
			await join(undefined, ['s', 'slow']);
			await evacuate();
			await endEvacuation();
		},
	},
	{
		name: 'the time that it states when it turns cold again', coldUntil: 1500 + 2000, async play({clock, start, join}) {
			start();
			await join(2000);
			await clock.advance(1500);
			await join(2000);
		},
	},
	{
		name: 'the time of a new process', coldUntil: 1500 + 2000, async play({clock, start, join}) {
			start();
			await join(2000);
			await clock.advance(1500);
			await join(2000, ['s'], 2);
		},
	},
	{
		name: 'the time that was left when an announcement without one follows', coldUntil: 2000, async play({clock, start, join}) {
			start();
			await join(2000);
			await clock.advance(1500);
			await join();
		},
	},
	{
		name: 'the time as this member counted it before it led', coldUntil: 2000, async play({clock, member, start, join}) {
			member.isLeader = false;
			start();
			await join(2000);
			await clock.advance(1500);
			member.isLeader = true;
		},
	},
	{
		name: 'the whole time at a member that has just started', coldUntil: 1500 + 2000, async play({clock, start, join}) {
			await join(2000);
			await clock.advance(1500);
			start();
		},
	},
	{
		name: 'the time and three attempts, when two proposals fail', coldUntil: 2000 + 200, async play({member, start, join}) {
			start();
			member.failures = 2;
			await join(2000);
		},
	},
])('keeps a server cold for $name', async ({coldUntil, play}) => {
	const watch = createWatch();
	const {clock, isCold} = watch;
	await play(watch);
	await clock.advance(coldUntil + marginMs - 1 - clock.now());
	expect(isCold()).toBe(true);
	await clock.advance(1 + sweepsMs);
	expect(isCold()).toBe(false);
	const {proposals} = watch.member;
	await clock.advance(10_000);
	expect(watch.member.proposals).toBe(proposals);
});

// Guards against marks that are taken back by a member that does not lead, and by a command that members of an earlier release ignore.
it.each([
	{name: 'does not lead', isLeader: false, version: evacuationVersion},
	{name: 'leads members of an earlier release', isLeader: true, version: evacuationVersion - 1},
])('takes no mark back while it $name', async ({isLeader, version}) => {
	const {clock, log, member, start, join, isCold} = createWatch();
	member.isLeader = isLeader;
	log.groupCommandVersion = version;
	start();
	await join(1000);
	await clock.advance(20_000);
	expect([member.proposals, isCold()]).toEqual([0, true]);
	member.isLeader = true;
	log.groupCommandVersion = evacuationVersion;
	await clock.advance(sweepsMs);
	expect(isCold()).toBe(false);
});

// Guards against a new mark for each heartbeat, and against a server that turns cold again and is not marked.
it.each([
	{
		name: 'the rest of the time', coldMs: 2000, isMarked: true, isNew: false,
	},
	{
		name: 'the rest of the time in a heartbeat 400 ms late', coldMs: 2400, isMarked: true, isNew: false,
	},
	{
		name: 'a new time', coldMs: 3000, isMarked: true, isNew: true,
	},
	{
		name: 'a time after its mark was taken back', coldMs: 500, isMarked: false, isNew: true,
	},
	{
		name: 'a new time in an evacuated zone', coldMs: 3000, isMarked: true, isEvacuated: true, isNew: false,
	},
])('finds that $name is new: $isNew', async ({coldMs, isMarked, isNew, isEvacuated = false}) => {
	const {clock, state, start, join, evacuate} = createWatch();
	const watch = start();
	await join(isMarked ? 3000 : undefined);
	await clock.advance(1100);
	if (isEvacuated) {
		await evacuate();
	}

	expect(watch.isColdForLonger(state.backendServers.get('a')!, coldMs)).toBe(isNew);
});

// Guards against a server that gets its usual load in the last moments of a time which was stated again and not taken for a new one.
it('keeps a server cold for as long as an announced time that is not new', async () => {
	const {clock, state, start, join, isCold} = createWatch();
	const watch = start();
	await join(3000);
	await clock.advance(1000);
	expect(watch.isColdForLonger(state.backendServers.get('a')!, 2500)).toBe(false);
	await clock.advance(2499);
	expect(isCold()).toBe(true);
});
