#!/usr/bin/env node
import process from 'node:process';
import {cac} from 'cac';
import {createServices} from './create-services.js';
import {Daemon} from './daemon.js';
import {SettingsError} from './settings-error.js';
import {
	environmentName, flagName, readSettings, secretSettings, settingNames, type Settings,
} from './settings.js';

/** Exit code for invalid settings. */
const usageExit = 2;

function parseSettings(): Settings | undefined {
	const cli = cac('catkinbeamd');
	for (const setting of settingNames) {
		if (!secretSettings.has(setting)) {
			cli.option(`${flagName(setting)} <value>`, `or ${environmentName(setting)}`);
		}
	}

	cli.help();
	const {options} = cli.parse(process.argv, {run: false});
	if (options.help) {
		return undefined;
	}

	const {'--': rest, ...flags} = options;
	return readSettings(flags, process.env);
}

async function run(cfg: Settings): Promise<void> {
	const services = createServices(cfg);
	const {logger} = services;
	const daemon = await Daemon.start(services);
	const {callerAddress, controlAddress} = daemon.listeners;
	logger.info({callerAddress, controlAddress}, 'daemon started');
	daemon.onStopped(error => {
		if (error) {
			logger.error({err: error}, 'daemon cannot go on');
		}

		daemon.dispose();
		process.exit(error ? 1 : 0);
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void daemon.drain();
		});
	}
}

try {
	const cfg = parseSettings();
	if (cfg) {
		await run(cfg);
	}
} catch (error) {
	const isUsage = error instanceof SettingsError;
	process.stderr.write(`catkinbeamd: ${isUsage ? `wrong settings\n${error.message}` : (error instanceof Error ? error.message : 'unexpected failure')}\n`);
	process.exitCode = isUsage ? usageExit : 1;
}
