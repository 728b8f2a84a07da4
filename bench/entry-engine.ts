import process from 'node:process';
import {BackendAnnouncer} from '../src/emulator/backend-announcer.js';
import {EmulatedEngine} from '../src/emulator/emulated-engine.js';
import {SystemClock} from '../src/node/system-clock.js';

/** Process of the emulated engine; it announces itself at the control address in its first argument. */
const [controlAddress, stepMs, answerTokens] = process.argv.slice(2);
const clock = new SystemClock();
const engine = new EmulatedEngine(clock, {
	maxRunning: 1000, prefillRate: 10_000_000, stepMs: Number(stepMs), answerTokens: Number(answerTokens), cacheBlocks: 1000, skills: new Map([['bench@1', 1]]),
});
await engine.start();
const incarnation = Math.floor(clock.wallTime());
const announcer = new BackendAnnouncer({
	server: () => ({
		id: 'bench-1', incarnation, address: engine.address, zone: 'zone-0', kind: 'engine',
		offers: [{ref: 'bench@1', inputCost: 1, outputCost: 1}], services: [], checksFencing: true, checksSender: false, capacity: 1000,
	}),
	load: () => engine.load,
	controlAddresses: [controlAddress!],
	clock,
});
await announcer.start();
process.send!({address: engine.address});
process.on('message', () => {
	// Attempt ids contain the request id of the daemon; those of direct calls come from the load generator.
	process.send!({executed: engine.executed});
});
process.on('disconnect', () => {
	process.exit(0);
});
