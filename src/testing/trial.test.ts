import {it} from 'vitest';
import {SpeedSimulation, type SpeedLoad} from './speed-simulation.js';
const speeds = [0.6, 1, 1.6];
const loads: Record<string, Omit<SpeedLoad, 'seed' | 'weights' | 'hasNoise' | 'durationMs'>> = {
	e82: {hosts: 82, servers: 98, zones: 4, perSecond: 341, utilization: 0.5, speedOf: index => speeds[index % 3]!, slots: 1, parts: 12},
	e82n: {hosts: 82, servers: 98, zones: 4, perSecond: 341, utilization: 0.5, speedOf: index => speeds[index % 3]!, slots: 1, parts: 1},
	e9: {hosts: 9, servers: 9, zones: 3, perSecond: 45, utilization: 0.5, speedOf: index => speeds[(index + Math.floor(index / 3)) % 3]!, slots: 1, parts: 4},
	p82: {hosts: 82, servers: 4, zones: 4, perSecond: 85, utilization: 0.5, speedOf: index => speeds[index % 3]!, slots: 6, parts: 0},
	p9: {hosts: 9, servers: 4, zones: 4, perSecond: 85, utilization: 0.5, speedOf: index => speeds[index % 3]!, slots: 6, parts: 0},
};
it('trial', () => {
	for (const [name, load] of Object.entries(loads)) {
		for (const hasNoise of [false, true]) for (const weights of ['none', 'known', 'estimated'] as const) {
			const t = Date.now();
			const sim = new SpeedSimulation({...load, seed: 1, hasNoise, weights, durationMs: 80_000}).run();
			const m = sim.sent.filter(({at}) => at > 20_000);
			const times = m.map(({firstEventMs}) => firstEventMs).sort((a, b) => a - b);
			const work = sim.servers.map(() => 0);
			for (const s of m) work[s.server]! += s.workMs;
			const total = work.reduce((a, b) => a + b, 0); const cap = sim.servers.reduce((a, s) => a + s.speed, 0);
			const rel = work.map((w, i) => w / total / (sim.servers[i]!.speed / cap));
			const bytes = [Math.max(...sim.bytes.map(b => b.sent)) / 80, Math.max(...sim.bytes.map(b => b.received)) / 80];
			console.log(name, hasNoise, weights, 'p95', times[Math.floor(times.length * 0.95)]!.toFixed(0), 'p50', times[Math.floor(times.length * 0.5)]!.toFixed(0), 'busiest', Math.max(...rel).toFixed(2), 'least', Math.min(...rel).toFixed(2), bytes.map(b => b.toFixed(0)).join(' '), Date.now() - t, 'ms');
			if (weights === 'estimated') {
				const h = sim.hosts[0]!;
				console.log(h.records.slice(0, 12).map(r => h.received.of(r, sim.time.now < 80_000 ? sim.time.now : 80_000).toFixed(2)).join(' '));
			}
		}
	}
});
