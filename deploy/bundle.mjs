// Bundles the programs for the platform into one file with a code cache, because loading hundreds of modules takes most of the time of a restart.
import {execFileSync} from 'node:child_process';
import {copyFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** Folder for the bundle. */
const folder = process.argv[2] ?? 'target';

// V8 rejects a code cache that was created under different flags, so these must match the flags in deploy/system.toml.
const flags = ['--max-old-space-size=200', '--max-semi-space-size=4'];

/** Replaces each package of which only a small part is used with that part. */
const subsets = {
	name: 'subsets',
	setup(plugin) {
		plugin.onResolve({filter: /^undici$/}, () => ({path: 'undici', namespace: 'subset'}));
		plugin.onResolve({filter: /\/locales\/index\.js$/}, args => args.importer.includes('/zod/') ? {path: 'locales', namespace: 'subset'} : undefined);
		plugin.onLoad({filter: /^undici$/, namespace: 'subset'}, () => ({
			contents: `
				import buildConnector from 'undici/lib/core/connect.js';
				import errors from 'undici/lib/core/errors.js';
				export {default as Agent} from 'undici/lib/dispatcher/agent.js';
				export {default as Pool} from 'undici/lib/dispatcher/pool.js';
				export {buildConnector, errors};`,
			resolveDir: process.cwd(),
		}));
		plugin.onLoad({filter: /^locales$/, namespace: 'subset'}, () => ({contents: 'export {};'}));
	},
};

await build({
	entryPoints: ['platform/main.ts'],
	outfile: `${folder}/platform.cjs`,
	bundle: true,
	minifySyntax: true,
	minifyWhitespace: true,
	// Limits the length of the source line that Node.js prints with a stack trace.
	lineLimit: 160,
	plugins: [subsets],
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	legalComments: 'none',
	external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'unix-dgram'],
});
copyFileSync('deploy/start.cjs', `${folder}/start.cjs`);
execFileSync(process.execPath, [...flags, `${folder}/start.cjs`, 'make-cache'], {stdio: 'inherit'});
