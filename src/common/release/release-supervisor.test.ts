import {expect, it} from 'vitest';
import {LocalLog} from '../../testing/local-log.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {nullLogger} from '../base/null-logger.js';
import {type BackendServer} from '../control/backend-server.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlLeadership} from '../control/control-leadership.js';
import {type ControlResult} from '../control/control-result.js';
import {ControlState} from '../control/control-state.js';
import {type ReleaseCounts} from './release-evidence.js';
import {ReleaseSupervisor} from './release-supervisor.js';
import {addValue} from './value-histogram.js';

/** Share of the requests that a bad release may receive, as specified by the users. */
const exposureBound = 0.15;
const durationMs = 20_000;
/** Answers of all hosts together in one second. */
const answersPerSecond = 100;

function backend(release: string): BackendServer {
	return {
		id: release, incarnation: 1, address: `${release}:1`, zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 4, release,
	};
}

type Faults = (elapsedMs: number, share: number) => {readonly failureShare: number; readonly latencyMs: number};

/** Simulates a roll-out. @returns its final state, the new release's share of all answers and the time at which it ended. */
async function simulate(faults: Faults, leaderChangeAt?: number, hasEarlierRollout = false): Promise<{state: string; exposure: number; endedAt: number}> {
	const clock = new ManualClock();
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('a', state);
	const create = () => new ReleaseSupervisor({
		log, state, clock, logger: nullLogger, leadership: {period: {}} as unknown as ControlLeadership, exposureLimit: {share: exposureBound, slack: 0},
	});
	let supervisor = create();
	for (const release of ['old', 'new']) {
		await log.propose({type: 'backend-joined', server: backend(release), at: 0}); // eslint-disable-line no-await-in-loop -- one after another
	}

	const earlier: ReleaseCounts[] = [];
	if (hasEarlierRollout) {
		await log.propose({
			type: 'start-service-rollout', service: 's', target: 'earlier', durationMs, at: clock.wallTime(),
		});
		earlier.push({
			rollout: state.serviceRollouts.get('s')!.revision, service: 's', release: 'old', route: 'r', sent: 10_000, answers: 10_000, failures: 9000, broken: 0, headMs: [10_000], paceUs: [],
		});
		supervisor.receive({host: 'e', incarnation: 1}, earlier);
		await log.propose({
			type: 'service-rollout-step', service: 's', target: 'earlier', state: 'reverted', share: 0, reason: '', holdsSessions: true,
		});
	}

	await log.propose({
		type: 'start-service-rollout', service: 's', target: 'new', durationMs, at: clock.wallTime(),
	});
	supervisor.receive({host: 'e', incarnation: 1}, earlier);
	const createSum = () => ({answers: 0, failures: 0, headMs: [] as number[]});
	const sums = {old: createSum(), new: createSum()};
	const add = (release: 'old' | 'new', answers: number, failureShare: number, latencyMs: number) => {
		const sum = sums[release];
		sum.answers += answers;
		sum.failures += Math.round(answers * failureShare);
		for (let index = 0; index < answers; index++) {
			addValue(sum.headMs, latencyMs);
		}
	};

	let endedAt = durationMs;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1000) {
		const rollout = state.serviceRollouts.get('s')!;
		if (rollout.state !== 'in-progress') {
			endedAt = Math.min(endedAt, elapsedMs);
			break;
		}

		if (elapsedMs === leaderChangeAt) {
			supervisor.dispose();
			supervisor = create();
		}

		const fresh = answersPerSecond * rollout.share;
		const {failureShare, latencyMs} = faults(elapsedMs, rollout.share);
		add('new', fresh, failureShare, latencyMs);
		add('old', answersPerSecond - fresh, 0, 100);
		const counts: ReleaseCounts[] = (['old', 'new'] as const).map(release => ({
			rollout: rollout.revision, service: 's', release, route: 'r', sent: sums[release].answers, broken: 0, paceUs: [], ...sums[release], headMs: [...sums[release].headMs],
		}));
		supervisor.receive({host: 'e', incarnation: 1}, counts);
		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- time advances step by step
	}

	supervisor.dispose();
	return {
		state: state.serviceRollouts.get('s')!.state, exposure: sums.new.answers / (sums.new.answers + sums.old.answers), endedAt,
	};
}

// Guards against a bad release that is not reverted or receives too many requests, and a good one that is not completed.
it.each<{name: string; faults: Faults; state: string; leaderChangeAt?: number; hasEarlierRollout?: boolean}>([
	{name: 'a good release', faults: () => ({failureShare: 0, latencyMs: 100}), state: 'completed'},
	{
		name: 'a good release across a leader change', faults: () => ({failureShare: 0, latencyMs: 100}), state: 'completed', leaderChangeAt: 8000,
	},
	{name: 'a failing release', faults: () => ({failureShare: 0.5, latencyMs: 100}), state: 'reverted'},
	{name: 'a slow release', faults: () => ({failureShare: 0, latencyMs: 800}), state: 'reverted'},
	{name: 'a release that fails after 5 s', faults: elapsedMs => ({failureShare: elapsedMs > 5000 ? 0.5 : 0, latencyMs: 100}), state: 'reverted'},
	{name: 'a release that fails only under load', faults: (_, share) => ({failureShare: share > 0.2 ? 0.5 : 0, latencyMs: 100}), state: 'reverted'},
	{
		name: 'a failing release across a leader change', faults: elapsedMs => ({failureShare: elapsedMs > 8000 ? 0.5 : 0, latencyMs: 100}), state: 'reverted', leaderChangeAt: 8000,
	},
	{
		name: 'a failing release after another roll-out', faults: () => ({failureShare: 0.5, latencyMs: 100}), state: 'reverted', hasEarlierRollout: true,
	},
	{
		name: 'a good release after another roll-out', faults: () => ({failureShare: 0, latencyMs: 100}), state: 'completed', hasEarlierRollout: true,
	},
])('ends the roll-out of $name as $state', async ({faults, state, leaderChangeAt, hasEarlierRollout}) => {
	const result = await simulate(faults, leaderChangeAt, hasEarlierRollout);
	expect(result.state).toBe(state);
	expect(result.endedAt).toBeLessThanOrEqual(durationMs);
	if (state === 'reverted') {
		expect(result.exposure).toBeLessThanOrEqual(exposureBound);
	}
});

// Guards against completing a release without evidence.
it('reverts a release without enough evidence at the deadline', async () => {
	const {state} = await simulate(() => ({failureShare: 0, latencyMs: 100}));
	expect(state).toBe('completed');
	const clock = new ManualClock();
	const control = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('a', control);
	const supervisor = new ReleaseSupervisor({
		log, state: control, clock, logger: nullLogger, leadership: {period: {}} as unknown as ControlLeadership, exposureLimit: {share: exposureBound, slack: 0},
	});
	await log.propose({
		type: 'start-service-rollout', service: 's', target: 'new', durationMs, at: clock.wallTime(),
	});
	await clock.advance(durationMs);
	expect(control.serviceRollouts.get('s')!.state).toBe('reverted');
	supervisor.dispose();
});
