import {type Evacuation} from '../common/control/evacuation-table.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {exitCode} from './exit-code.js';
import {waitInForce} from './in-force-wait.js';
import {errorOf, type OperatorReply} from './operator-client.js';

/** Options of the commands that order or withdraw an evacuation. */
export interface EvacuationOptions {
	/** Whether to wait until the order is in force. */
	readonly wait?: boolean;
	/** Longest wait in seconds. */
	readonly timeout?: number;
}

/** Orders that the backend servers of a zone get no requests. */
export async function evacuate(ctx: CommandContext, zone: string, options: EvacuationOptions): Promise<void> {
	const reply = await ctx.client.call({method: 'POST', path: 'evacuations', body: JSON.stringify({zone})});
	await finishOrder(ctx, reply, {...options, description: `the evacuation of ${zone}`});
}

/** Withdraws the order to evacuate a zone. */
export async function endEvacuation(ctx: CommandContext, zone: string, options: EvacuationOptions): Promise<void> {
	const reply = await ctx.client.call({method: 'DELETE', path: `evacuations/${encodeURIComponent(zone)}`});
	await finishOrder(ctx, reply, {...options, description: `the end of the evacuation of ${zone}`});
}

/** Lists the last order of each zone, withdrawals included. */
export async function listEvacuations(ctx: CommandContext): Promise<void> {
	const orders = await ctx.client.read<Evacuation[]>('evacuations');
	ctx.printer.rows(['zone', 'state', 'revision', 'since'], orders.map(({zone, isActive, revision, at}) => ({
		zone, state: isActive ? 'evacuated' : 'open', revision, since: new Date(at).toISOString(),
	})));
}

async function finishOrder(ctx: CommandContext, {status, body}: OperatorReply, {description, wait = false, timeout}: EvacuationOptions & {description: string}): Promise<void> {
	if (status !== 200) {
		throw orderError({status, body});
	}

	const result = body as {revision: number};
	if (wait) {
		await waitInForce(ctx, result.revision, timeout);
	}

	ctx.printer.value({...result, inForce: wait}, `${description} is ${wait ? 'in force' : 'accepted'} at revision ${result.revision}`);
}

function orderError({status, body}: OperatorReply): CliError {
	const {code, message} = errorOf(body);
	if (code === 'evacuation-changed') {
		return new CliError(exitCode.conflict, message, 'Look at "catkinbeam evacuations" and repeat the command if it is still wanted.');
	}

	if (status === 404) {
		return new CliError(exitCode.notFound, message, 'Zones are listed by "catkinbeam entries" and "catkinbeam backends".');
	}

	if (status === 400 || status === 422) {
		return new CliError(exitCode.invalid, message, 'See "catkinbeam evacuations".');
	}

	return new CliError(exitCode.unreachable, `${message} (${code})`, 'The outcome is not known: it is safe to repeat the command.');
}
