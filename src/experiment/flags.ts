import {existsSync} from 'node:fs';
import {cac} from 'cac';
import {FlagError} from './flag-error.js';
import {policyFactories} from './policies.js';
import {scenarios} from './scenarios.js';

const scenarioNames = [...Object.keys(scenarios), 'exposure', 'false-alarms'];

/** Validated command line. */
export interface Flags {
	readonly scenario: string;
	readonly policies: readonly string[];
	readonly seed: number;
	readonly seeds: number;
	/** Number of entry hosts, if given. */
	readonly hosts?: number;
	/** Hours of earlier traffic from which the policies learn before the run. */
	readonly warmHours: number;
	readonly plot?: string;
	readonly write?: string;
}

/**
Reads the command line. @returns undefined if only help was requested.

@throws FlagError on an unknown flag or an invalid value.
*/
export function parseFlags(argv: string[]): Flags | undefined {
	const cli = cac('experiment');
	cli.option('--scenario <name>', `Scenario (${scenarioNames.join(', ')}) or trace file`);
	cli.option('--policy <name>', `Policy (${Object.keys(policyFactories).join(', ')}); all where none is named`);
	cli.option('--seed <n>', 'First seed', {default: 1});
	cli.option('--seeds <n>', 'Number of seeds', {default: 1});
	cli.option('--hosts <n>', 'Entry hosts (9; for exposure 1, 9, 90 and 370)');
	cli.option('--warm-hours <n>', 'Hours of earlier traffic to learn from', {default: 0});
	cli.option('--plot <file>', 'Write an SVG plot of the first seed');
	cli.option('--write <file>', 'Write the trace of the last seed');
	cli.help();
	const {options, args} = cli.parse(argv, {run: false});
	if (options.help) {
		return undefined;
	}

	const known = new Set(['--', 'help', 'h', 'scenario', 'policy', 'seed', 'seeds', 'hosts', 'warmHours', 'plot', 'write']);
	const unknown = Object.keys(options).find(name => !known.has(name));
	if (unknown !== undefined || args.length > 0) {
		throw new FlagError(unknown === undefined ? `unexpected argument ${args[0]}` : `unknown flag --${unknown}`);
	}

	const scenario = text(options, 'scenario');
	if (scenario === undefined || !(scenarioNames.includes(scenario) || existsSync(scenario))) {
		throw new FlagError(`--scenario must be ${scenarioNames.join(', ')} or an existing file`);
	}

	const policy = text(options, 'policy');
	if (policy !== undefined && !Object.hasOwn(policyFactories, policy)) {
		throw new FlagError(`--policy must be one of ${Object.keys(policyFactories).join(', ')}`);
	}

	return {
		scenario,
		policies: policy === undefined ? Object.keys(policyFactories) : [policy],
		seed: integer(options, 'seed', 0, 2 ** 31),
		seeds: integer(options, 'seeds', 1, 1000),
		hosts: options.hosts === undefined ? undefined : integer(options, 'hosts', 1, 1000),
		warmHours: integer(options, 'warmHours', 0, 100),
		plot: text(options, 'plot'),
		write: text(options, 'write'),
	};
}

function text(options: Record<string, unknown>, name: string): string | undefined {
	const value = options[name];
	if (value === undefined || typeof value === 'string') {
		return value;
	}

	throw new FlagError(`--${name} must be given once, with a value`);
}

function integer(options: Record<string, unknown>, name: string, min: number, max: number): number {
	const value = Number(options[name]);
	if (typeof options[name] === 'boolean' || !Number.isInteger(value) || value < min || value > max) {
		throw new FlagError(`--${name} must be an integer from ${min} to ${max}`);
	}

	return value;
}
