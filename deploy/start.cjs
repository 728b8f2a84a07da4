// Loads the bundle with its code cache. `start.cjs make-cache` writes the cache.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, 'platform.cjs');
const cache = path.join(__dirname, 'platform.cache');
const isMakingCache = process.argv[2] === 'make-cache';

function readCache() {
	try {
		return readFileSync(cache);
	} catch (error) {
		process.stderr.write(`${JSON.stringify({msg: 'no code cache, the start is slower', err: String(error)})}\n`);
		return undefined;
	}
}

const script = new Script(`(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`, {
	filename: bundle,
	cachedData: isMakingCache ? undefined : readCache(),
});
if (script.cachedDataRejected) {
	process.stderr.write(`${JSON.stringify({msg: 'the code cache does not fit this runtime, the start is slower'})}\n`);
}

const bundled = {exports: {}};
script.runInThisContext()(bundled.exports, require, bundled, bundle, __dirname);
if (isMakingCache) {
	writeFileSync(cache, script.createCachedData());
} else {
	bundled.exports.main(process.argv.slice(2));
}
