import {expect, it} from 'vitest';
import {type Deployment, shareOfBestThreshold, usualDeployment} from '../../testing/escalation-simulation.js';

// Guards against a confidence threshold that fits one deployment only: without ratings the router does not learn how good
// the answers of a model are, and keeps answers that a larger model would improve.
it.each<{name: string; changes: Partial<Deployment>}>([
	{name: 'a confidence that says nothing', changes: {isConfidenceTrue: false}},
	{name: 'a small model that is never good enough', changes: {smallQuality: 0.05}},
])('earns nearly as much as the best fixed threshold with $name', ({changes}) => {
	expect(shareOfBestThreshold({...usualDeployment, ...changes})).toBeGreaterThanOrEqual(0.95);
});
