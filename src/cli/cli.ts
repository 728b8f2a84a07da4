import {cac} from 'cac';
import {
	diff, remove, submit, validate, withdraw, type ChangeOptions,
} from './change-commands.js';
import {reportBurn, type BurnOptions} from './burn-command.js';
import {check, type CheckOptions} from './check-command.js';
import {type CheckedFormat} from './checked-format.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {
	endEvacuation, evacuate, listEvacuations, type EvacuationOptions,
} from './evacuation-commands.js';
import {explain} from './explain-command.js';
import {exitCode, type ExitCode} from './exit-code.js';
import {waitInForce} from './in-force-wait.js';
import {
	listBackends, listBills, listEntries, listSessionChanges, listTotals, listVersions, show, showSession, type LedgerListOptions,
} from './list-commands.js';
import {OperatorClient} from './operator-client.js';
import {type Output, ResultPrinter} from './output.js';
import {drain, status} from './status-command.js';
import {
	lift, listQuarantines, listRollouts, systemStatus,
} from './system-commands.js';

/** Dependencies of `runCli`: output, files and environment variables of the process. */
export interface CliEnvironment extends Output {
	readonly env: Readonly<Record<string, string | undefined>>;
	/** Formats of documents besides service documents. */
	readonly formats?: readonly CheckedFormat[];
	readFile(name: string): Promise<string>;
	writeFile(name: string, text: string): Promise<void>;
	wait(delayMs: number): Promise<void>;
	newChangeId(): string;
}

type GlobalOptions = {readonly server?: string; readonly json?: boolean};
type Action = (ctx: CommandContext) => Promise<void>;

const defaultServer = 'http://127.0.0.1:9090';

/** Runs one command. @returns the exit code. */
export async function runCli(argv: readonly string[], environment: CliEnvironment): Promise<ExitCode> {
	let action: Action | undefined;
	let globals: GlobalOptions = {};
	const cli = createParser((matchedAction, options) => {
		action = matchedAction;
		globals = options;
	});
	try {
		cli.parse(['node', 'catkinbeam', ...argv], {run: false});
		if (cli.options.help) {
			return exitCode.ok;
		}

		checkNumbers(cli.options);
		await cli.runMatchedCommand();
		if (!action) {
			throw new CliError(exitCode.usage, argv.length === 0 ? 'no command given' : `unknown command ${argv[0]}`, 'See "catkinbeam --help".');
		}

		await action(createContext(globals, environment));
		return exitCode.ok;
	} catch (error) {
		return reportError(error, environment);
	}
}

function createParser(onMatch: (action: Action, options: GlobalOptions) => void) {
	const cli = cac('catkinbeam');
	cli.option('--server <url>', `Control listener of any daemon (or CATKINBEAM_SERVER; default ${defaultServer})`);
	cli.option('--json', 'Print JSON for scripts');
	const withChangeOptions = (command: ReturnType<typeof cli.command>) => command
		.option('--change-id <id>', 'Makes it safe to repeat the command')
		.option('--base <revision>', 'Revision that the change was made from')
		.option('--wait', 'Wait until the change is in force everywhere')
		.option('--timeout <seconds>', 'Longest wait (default 11)');
	const withWaitOptions = (command: ReturnType<typeof cli.command>) => command
		.option('--wait', 'Wait until the order is in force everywhere')
		.option('--timeout <seconds>', 'Longest wait (default 11)');
	const withListOptions = (command: ReturnType<typeof cli.command>) => command
		.option('--customer <name>', 'Only this customer')
		.option('--limit <rows>', 'Rows at most');
	const add = <Args extends unknown[]>(command: ReturnType<typeof cli.command>, run: (ctx: CommandContext, ...args: Args) => Promise<void>) => {
		command.action((...args: unknown[]) => {
			onMatch(async ctx => run(ctx, ...args as Args), args.at(-1) as GlobalOptions);
		});
	};

	add(cli.command('validate <file>', 'Check a service document'), async (ctx, file: string) => validate(ctx, file));
	add(cli.command('check <file>', 'Find errors in a document, and parts of it that have no effect').option('--against', 'Compare it with the document in force'), async (ctx, file: string, options: CheckOptions) => check(ctx, file, options));
	add(cli.command('diff <file>', 'Compare a service document with the present one'), async (ctx, file: string) => diff(ctx, file));
	add(withChangeOptions(cli.command('submit <file>', 'Submit a service document ("-" reads standard input)')), async (ctx, file: string, options: ChangeOptions) => submit(ctx, file, options));
	add(withChangeOptions(cli.command('withdraw <service> <version>', 'Forbid a version (model@version) for all new work')), async (ctx, service: string, ref: string, options: ChangeOptions) => withdraw(ctx, service, ref, options));
	add(withChangeOptions(cli.command('remove <service>', 'Remove the document of a service')), async (ctx, service: string, options: ChangeOptions) => remove(ctx, service, options));
	add(cli.command('show [service]', 'Show the documents, or one of them'), async (ctx, service?: string) => show(ctx, service));
	add(cli.command('in-force <revision>', 'Wait until a revision is in force everywhere').option('--timeout <seconds>', 'Longest wait (default 11)'), async (ctx, revision: string, options: ChangeOptions) => {
		if (!/^\d+$/v.test(revision)) {
			throw new CliError(exitCode.usage, `${revision} is not a revision`, 'Give the number that a change was accepted with.');
		}

		await waitInForce(ctx, Number(revision), options.timeout);
		ctx.printer.value({revision: Number(revision), inForce: true}, `revision ${revision} is in force`);
	});
	add(cli.command('entries', 'List the entry hosts'), async ctx => listEntries(ctx));
	add(cli.command('backends', 'List the backend servers'), async ctx => listBackends(ctx));
	add(cli.command('versions', 'List the versions of all services'), async ctx => listVersions(ctx));
	add(withListOptions(cli.command('bills', 'List the last bills')), async (ctx, options: LedgerListOptions) => listBills(ctx, options));
	add(withListOptions(cli.command('unknown', 'List requests whose outcome is not known')), async (ctx, options: LedgerListOptions) => listBills(ctx, options, 'unknown'));
	add(withListOptions(cli.command('totals', 'List totals by customer, service, version and day')), async (ctx, options: LedgerListOptions) => listTotals(ctx, options));
	add(withListOptions(cli.command('session-changes', 'List sessions that changed their version')), async (ctx, options: LedgerListOptions) => listSessionChanges(ctx, options));
	add(cli.command('session <customer> <service> <session>', 'Show the version of a session'), async (ctx, customer: string, service: string, session: string) => showSession(ctx, customer, service, session));
	add(cli.command('status', 'Show the state of the daemon').option('--all', 'Show the state of the whole system'), async (ctx, {all}: {all?: boolean}) => all ? systemStatus(ctx) : status(ctx));
	add(cli.command('rollouts', 'List the roll-outs'), async ctx => listRollouts(ctx));
	add(cli.command('quarantines', 'List the quarantined versions'), async ctx => listQuarantines(ctx));
	add(cli.command('lift <service> <class> <version>', 'Lift a quarantine'), async (ctx, service: string, requestClass: string, ref: string) => lift(ctx, service, requestClass, ref));
	add(withWaitOptions(cli.command('evacuate <zone>', 'Send no more requests to the backend servers of a zone')), async (ctx, zone: string, options: EvacuationOptions) => evacuate(ctx, zone, options));
	add(cli.command('evacuations', 'List the last order on each zone that was evacuated'), async ctx => listEvacuations(ctx));
	add(withWaitOptions(cli.command('end-evacuation <zone>', 'Send requests to the backend servers of a zone again')), async (ctx, zone: string, options: EvacuationOptions) => endEvacuation(ctx, zone, options));
	add(cli.command('explain <request>', 'Show the plan, the attempts and the bill of a request'), async (ctx, request: string) => explain(ctx, request));
	add(cli.command('report <what>', 'Show how fast error budgets are used ("report burn")').option('--html <file>', 'Write a page with plots'), async (ctx, what: string, options: BurnOptions) => {
		if (what !== 'burn') {
			throw new CliError(exitCode.usage, `there is no report ${what}`, 'Use "catkinbeam report burn".');
		}

		await reportBurn(ctx, options);
	});
	add(cli.command('drain', 'Stop the daemon gracefully'), async ctx => drain(ctx));
	cli.help();
	return cli;
}

function createContext({server, json = false}: GlobalOptions, environment: CliEnvironment): CommandContext {
	const url = server ?? environment.env.CATKINBEAM_SERVER ?? defaultServer;
	if (!URL.canParse(url)) {
		throw new CliError(exitCode.usage, `${url} is not a URL`, 'Give the control listener of a daemon, such as http://10.0.0.1:9090.');
	}

	return {
		client: new OperatorClient(url, environment.env.CATKINBEAM_OPERATOR_SECRET),
		printer: new ResultPrinter(environment, json),
		formats: environment.formats ?? [],
		readFile: async name => environment.readFile(name),
		writeFile: async (name, text) => environment.writeFile(name, text),
		wait: async delayMs => environment.wait(delayMs),
		newChangeId: () => environment.newChangeId(),
	};
}

/** Options whose value must be a number; the parser accepts any value. */
const numericOptions = ['base', 'timeout', 'limit'] as const;

function checkNumbers(options: Readonly<Record<string, unknown>>): void {
	for (const name of numericOptions) {
		const value = options[name];
		if (value !== undefined && (typeof value !== 'number' || !(value >= 0))) {
			throw new CliError(exitCode.usage, `--${name} needs a number and got ${JSON.stringify(value)}`, 'See "catkinbeam --help".');
		}
	}
}

/** Joins lines, because messages of document parsers may contain an excerpt of several lines. */
function oneLine(text: string): string {
	return text.replaceAll(/\s+/gv, ' ').trim();
}

function reportError(error: unknown, output: Output): ExitCode {
	if (error instanceof CliError) {
		output.errorLine(oneLine(`catkinbeam: ${error.message}. ${error.advice}`));
		return error.exitCode;
	}

	const {name, code, message} = error as {name?: string; code?: string; message?: string};
	if (name === 'CACError') {
		output.errorLine(`catkinbeam: ${message}. See "catkinbeam --help".`);
		return exitCode.usage;
	}

	if (code === 'ENOENT' || code === 'EACCES' || code === 'EISDIR') {
		output.errorLine(`catkinbeam: ${message}. Check the name of the file.`);
		return exitCode.usage;
	}

	output.errorLine(oneLine(`catkinbeam: ${message ?? 'unexpected failure'}`));
	return exitCode.failed;
}
