import process from 'node:process';
import {createServices} from '../src/daemon/create-services.js';
import {Daemon} from '../src/daemon/daemon.js';
import {readSettings} from '../src/daemon/settings.js';

/** Daemon process of the measurements: the only voter; the first argument is its data folder. */
const cfg = readSettings({
	host: 'entry-0', zone: 'zone-0', callerListen: '127.0.0.1:0', controlListen: '127.0.0.1:0', voters: 'entry-0=127.0.0.1:1', dataDir: process.argv[2]!, bootstrap: true, logLevel: 'error', maxConcurrent: 5000,
}, {});
let control = '';
const daemon = await Daemon.start(createServices(cfg, () => control), ({controlAddress}) => {
	control = controlAddress;
});
process.send!({callers: daemon.listeners.callerAddress, control});
let previousUsage = process.cpuUsage();
process.on('message', message => {
	if (message === 'exit') {
		process.exit(0);
	}

	const {user, system} = process.cpuUsage(previousUsage);
	previousUsage = process.cpuUsage();
	process.send!({
		cpuSeconds: (user + system) / 1e6, residentBytes: process.memoryUsage().rss, hasLease: daemon.status.hasLease, backendServers: daemon.status.backendServers,
	});
});
process.on('disconnect', () => {
	process.exit(0);
});
