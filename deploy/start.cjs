// Runs the bundle with its code cache. `start.cjs make-cache` creates the cache.
'use strict';
const process = require('node:process'); // eslint-disable-line import-x/order -- the signals come first

// Before anything else: without a listener, a signal ends the process. The program gets both signals as soon as it is loaded.
process.on('SIGHUP', () => undefined);
process.on('SIGTERM', () => undefined);

const {readFileSync, writeFileSync, writeSync} = require('node:fs');
const path = require('node:path');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, 'platform.cjs');
const cache = path.join(__dirname, 'platform.cache');
const isMakingCache = process.argv[2] === 'make-cache';

function readCache() {
	try {
		return readFileSync(cache);
	} catch (error) {
		process.stderr.write(`${JSON.stringify({msg: 'cannot read the code cache, startup is slower', err: String(error)})}\n`);
		return undefined;
	}
}

function run() {
	const script = new Script(`(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`, {
		filename: bundle,
		cachedData: isMakingCache ? undefined : readCache(),
	});
	if (script.cachedDataRejected) {
		process.stderr.write(`${JSON.stringify({msg: 'code cache rejected by this Node.js version or its flags, startup is slower'})}\n`);
	}

	const bundled = {exports: {}};
	script.runInThisContext()(bundled.exports, require, bundled, bundle, __dirname);
	if (isMakingCache) {
		writeFileSync(cache, script.createCachedData());
	} else {
		bundled.exports.main(process.argv.slice(2));
	}
}

try {
	run();
} catch (error) {
	// Until the program has taken over, nothing else tells why the process ends.
	writeSync(1, `${JSON.stringify({
		name: `catkinbeam-${process.argv[2]}`, time: new Date().toISOString(), cause: 'failed start', code: 1, err: {message: String(error), stack: error?.stack}, msg: 'process ends',
	})}\n`);
	process.exit(1); // eslint-disable-line unicorn/no-process-exit -- the program that the platform starts
}
