import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts'],
		// Generous, so that no verdict depends on the speed of the machine.
		testTimeout: 120_000,
		hookTimeout: 120_000,
		maxWorkers: 4,
	},
});
