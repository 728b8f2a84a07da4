import {expect, it} from 'vitest';
import {
	type Deployment, fixed, loadAware, playDeployment, shareOfBestThreshold, usualDeployment,
} from '../../testing/escalation-simulation.js';

// Guards against a policy that is fitted to one deployment: under each of these loads callers get nearly as much as with the best
// fixed threshold for it, which no operator knows beforehand.
it.each<{name: string; changes: Partial<Deployment>}>([
	{name: 'a moderate load', changes: {}},
	{name: 'twice the load', changes: {perSecond: () => 16}},
	{name: 'four times the load', changes: {perSecond: () => 32}},
	{name: 'models that are twice as slow', changes: {smallMs: 10, largeMs: 100}},
	{name: 'a load that triples within a second', changes: {perSecond: time => time > 25_000 && time < 40_000 ? 24 : 8}},
	{name: 'two engines of six at a third of the speed', changes: {slowShare: 1 / 3}},
	{name: 'three engines of six lost', changes: {engines: 3}},
])('earns nearly as much as the best fixed threshold under $name', ({changes}) => {
	expect(shareOfBestThreshold({...usualDeployment, ...changes})).toBeGreaterThanOrEqual(0.95);
});

// Guards against a queue of long prompts that makes all answers late.
it.each([16, 32, 64])('keeps answers on time at %s requests a second', perSecond => {
	const deployment = {...usualDeployment, perSecond: () => perSecond};
	const {onTime} = playDeployment(deployment, loadAware, 4);
	expect(onTime).toBeGreaterThan(0.9);
	expect(playDeployment(deployment, fixed(55), 4).onTime).toBeLessThan(onTime);
});
