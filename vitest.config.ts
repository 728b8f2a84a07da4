import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts'],
		// Generous timeouts, so that results do not depend on the speed of the machine.
		testTimeout: 120_000,
		hookTimeout: 120_000,
		maxWorkers: 4,
	},
});
