// Bundles the programs for the platform into one file each, because loading hundreds of modules dominates a restart.
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/main.ts'],
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	entryNames: 'platform',
	chunkNames: 'chunk-[hash]',
	bundle: true,
	splitting: true,
	minifySyntax: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	legalComments: 'none',
	external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'unix-dgram'],
	// Bundled CommonJS modules load Node's own modules by require.
	banner: {js: 'import {createRequire as catkinbeamRequire} from "node:module"; const require = catkinbeamRequire(import.meta.url);'},
});
