import {z} from 'zod';
import {isLoopback, parseAddress} from './listen-address.js';
import {type SettingIssue, SettingsError} from './settings-error.js';

const addressText = 'must be an IP address and a port, such as 10.0.0.1:8080';
const nameText = 'must be lower-case letters, digits and hyphens';
const name = z.string(nameText).regex(/^[a-z\d][a-z\d\-]{0,62}$/v, nameText);
const address = z.string(addressText).refine(text => parseAddress(text) !== undefined, addressText);
const flag = z.stringbool('must be true or false').default(false);
const secret = z.string().min(16, 'must have at least 16 characters').optional();

function seconds(fallback: number) {
	return z.coerce.number('must be a number of seconds').positive('must be above 0').max(3600, 'must be at most 3600').default(fallback);
}

/** Voters as `name=ip:port`, separated by commas. */
const voters = z.string('must be a list such as a=10.0.0.1:9090,b=10.0.0.2:9090').transform((text, ctx) => {
	const parsed = new Map<string, string>();
	for (const part of text.split(',')) {
		const [host = '', at = ''] = part.split('=');
		if (!name.safeParse(host).success || !parseAddress(at)) {
			ctx.addIssue({code: 'custom', message: 'must be a list such as a=10.0.0.1:9090,b=10.0.0.2:9090'});
			return z.NEVER;
		}

		parsed.set(host, at);
	}

	return parsed;
}).refine(map => [1, 3, 5, 7].includes(map.size), 'must list 1, 3, 5 or 7 different voters');

const settingsSchema = z.strictObject({
	host: name,
	zone: name,
	region: name.default('main'),
	callerListen: address,
	controlListen: address,
	callerAddress: address.optional(),
	controlAddress: address.optional(),
	voters,
	dataDir: z.string().min(1).optional(),
	bootstrap: flag,
	ratingUrl: z.url('must be a URL such as http://10.0.0.9:7000').optional(),
	statsd: address.optional(),
	logLevel: z.enum(['debug', 'info', 'warn', 'error'], 'must be debug, info, warn or error').default('info'),
	keepSeconds: seconds(10),
	ledgerLingerMs: z.coerce.number('must be a number of milliseconds').min(0, 'must be at least 0').max(1000, 'must be at most 1000').default(0),
	loadIntervalSeconds: seconds(30),
	maxConcurrent: z.coerce.number('must be a whole number').int('must be a whole number').positive('must be above 0').default(1000),
	operatorSecret: secret,
	backendSecret: secret,
	peerSecret: secret,
});

/** Validated settings of the daemon. */
export type Settings = z.output<typeof settingsSchema>;

/** Names of the secret settings, which are read only from the environment and never from flags. */
export const secretSettings: ReadonlySet<string> = new Set(['operatorSecret', 'backendSecret', 'peerSecret']);

/** Names of all settings in camelCase. */
export const settingNames: readonly string[] = Object.keys(settingsSchema.shape);

/** Environment variable of a setting: `CATKINBEAM_` and its name in upper snake case. */
export function environmentName(setting: string): string {
	return `CATKINBEAM_${setting.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase()}`;
}

/** Command line flag of a setting: its name in kebab case. */
export function flagName(setting: string): string {
	return `--${setting.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
}

/**
Parses and validates the settings of the daemon. A flag takes precedence over its environment variable.

@throws SettingsError listing every issue.
*/
export function readSettings(flags: Readonly<Record<string, string | number | boolean | undefined>>, env: Readonly<Record<string, string | undefined>>): Settings {
	const issues: SettingIssue[] = [];
	const input: Record<string, string> = {};
	for (const setting of settingNames) {
		const value = secretSettings.has(setting) ? env[environmentName(setting)] : flags[setting] ?? env[environmentName(setting)];
		if (value !== undefined) {
			input[setting] = String(value);
		}
	}

	for (const unknown of Object.keys(flags).filter(key => !settingNames.includes(key) || secretSettings.has(key))) {
		const allowed = secretSettings.has(unknown) ? `set ${environmentName(unknown)} in the environment instead` : 'unknown flag; see --help';
		issues.push({name: flagName(unknown), value: String(flags[unknown]), allowed});
	}

	const result = settingsSchema.safeParse(input);
	if (!result.success) {
		for (const {path, message} of result.error.issues) {
			const setting = String(path[0]);
			const value = secretSettings.has(setting) ? '(hidden)' : input[setting] ?? '';
			issues.push({name: `${flagName(setting)} (${environmentName(setting)})`, value, allowed: message});
		}
	}

	if (result.success) {
		issues.push(...crossSettingIssues(result.data));
	}

	if (issues.length > 0 || !result.success) {
		throw new SettingsError(issues);
	}

	return result.data;
}

/** Issues that depend on several settings. */
function crossSettingIssues(cfg: Settings): SettingIssue[] {
	const issues: SettingIssue[] = [];
	const isVoter = cfg.voters.has(cfg.host);
	if (isVoter && cfg.dataDir === undefined) {
		issues.push({name: '--data-dir (CATKINBEAM_DATA_DIR)', value: '', allowed: `a host that is listed in --voters (${cfg.host}) needs a data folder`});
	}

	if (cfg.bootstrap && !isVoter) {
		issues.push({name: '--bootstrap (CATKINBEAM_BOOTSTRAP)', value: 'true', allowed: `only a host that is listed in --voters can be bootstrapped; ${cfg.host} is not`});
	}

	for (const setting of ['callerListen', 'controlListen'] as const) {
		const {host} = parseAddress(cfg[setting])!;
		const advertised = setting === 'callerListen' ? 'callerAddress' : 'controlAddress';
		if ((host === '0.0.0.0' || host === '::') && cfg[advertised] === undefined) {
			issues.push({name: flagName(setting), value: cfg[setting], allowed: `listening on all addresses needs ${flagName(advertised)}, the address that others use`});
		}
	}

	if (!isLoopback(parseAddress(cfg.controlListen)!.host)) {
		for (const setting of ['operatorSecret', 'backendSecret', 'peerSecret'] as const) {
			if (cfg[setting] === undefined) {
				issues.push({name: environmentName(setting), value: '', allowed: 'needed to listen beyond loopback; at least 16 characters'});
			}
		}
	}

	return issues;
}
