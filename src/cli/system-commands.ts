import {type QuarantineRecord} from '../common/control/quarantine-record.js';
import {type RolloutState} from '../common/rollout/rollout-state.js';
import {type SystemReport} from '../common/status/system-report.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {exitCode} from './exit-code.js';
import {errorOf} from './operator-client.js';
import {formatTable} from './table.js';

/** Shows the state of the whole system. */
export async function systemStatus(ctx: CommandContext): Promise<void> {
	const report = await ctx.client.read<SystemReport>('system');
	ctx.printer.value(report, [
		...leaderLines(report),
		...section('draining entry hosts', ['host', 'zone', 'address'], report.entryHosts.filter(({leaving}) => leaving)),
		...section('roll-outs', rolloutColumns, report.rollouts),
		...section('quarantines', quarantineColumns, report.quarantines),
		...(report.unknown ? section('requests with unknown outcome', ['requestId', 'customer', 'service', 'entry', 'cost'], report.unknown) : ['requests with unknown outcome: NOT known, no leader of the ledger answers']),
	].join('\n'));
}

/** Lists the roll-outs, finished ones included. */
export async function listRollouts(ctx: CommandContext): Promise<void> {
	ctx.printer.rows(rolloutColumns, await ctx.client.read<Rollout[]>('rollouts'));
}

/** Lists the quarantines. */
export async function listQuarantines(ctx: CommandContext): Promise<void> {
	ctx.printer.rows(quarantineColumns, await ctx.client.read<QuarantineRecord[]>('quarantines'));
}

/** Lifts a quarantine. */
export async function lift(ctx: CommandContext, service: string, requestClass: string, ref: string): Promise<void> {
	const {status, body} = await ctx.client.call({method: 'POST', path: 'lifts', body: JSON.stringify({service, requestClass, ref})});
	if (status === 200) {
		ctx.printer.value(body, `the quarantine of ${ref} for the class ${requestClass} of ${service} is lifted at revision ${(body as {revision: number}).revision}`);
		return;
	}

	const {code, message} = errorOf(body);
	if (status === 404) {
		throw new CliError(exitCode.notFound, message, 'List them with "catkinbeam quarantines".');
	}

	throw new CliError(exitCode.unreachable, `${message} (${code})`, 'It is safe to repeat the command.');
}

type Rollout = RolloutState & {readonly service: string};
const rolloutColumns: ReadonlyArray<keyof Rollout> = ['service', 'from', 'to', 'phase', 'step', 'percentage', 'reason'];
const quarantineColumns: ReadonlyArray<keyof QuarantineRecord> = ['service', 'requestClass', 'ref', 'revision', 'reason'];

function leaderLines({control, host, revision}: SystemReport): string[] {
	if (!control) {
		return [`control leader: NONE answers; ${host} has applied revision ${revision}`];
	}

	const {leader, term, commitIndex, daemons} = control;
	const rows = daemons.map(daemon => ({
		host: daemon.host,
		applied: daemon.applied,
		behind: Math.max(0, commitIndex - daemon.applied),
		lease: daemon.released ? 'given up' : (daemon.leaseEndsInMs > 0 ? `${(daemon.leaseEndsInMs / 1000).toFixed(1)} s left` : 'NONE'),
		seen: `${(daemon.seenAgoMs / 1000).toFixed(1)} s ago`,
	}));
	return [`control leader: ${leader}, term ${term}, revision ${commitIndex}`, formatTable(['host', 'applied', 'behind', 'lease', 'seen'], rows)];
}

function section<Row extends {[Key in keyof Row]: unknown}>(title: string, columns: ReadonlyArray<keyof Row & string>, rows: readonly Row[]): string[] {
	return rows.length === 0 ? [`${title}: none`] : [`${title}:`, formatTable(columns, rows)];
}
