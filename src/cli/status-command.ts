import {type StatusReport} from '../common/status/status-report.js';
import {type CommandContext} from './command-context.js';

/** Shows the state of the daemon that answers. */
export async function status(ctx: CommandContext): Promise<void> {
	const report = await ctx.client.read<StatusReport>('status');
	const lines = [
		`host ${report.host} in zone ${report.zone}, incarnation ${report.incarnation}`,
		`revision ${report.revision}, lease ${report.hasLease ? 'valid' : 'NOT valid: takes no new work'}${report.draining ? ', draining' : ''}`,
		`${report.activeRequests} active requests; ${report.services} services, ${report.entryHosts} entry hosts, ${report.backendServers} backend servers`,
		`rating service ${report.ratingAvailable ? 'available' : 'NOT available'}`,
		...(['control', 'ledger'] as const).flatMap(name => {
			const log = report[name];
			return log ? [`${name} log: ${log.role}, leader ${log.leader ?? 'unknown'}, term ${log.term}, commit ${log.commitIndex}, applied ${log.appliedIndex}, members ${log.members.map(({host, isVoter}) => isVoter ? host : `${host} (learner)`).join(' ')}`] : [];
		}),
	];
	ctx.printer.value(report, lines.join('\n'));
}

/** Starts a graceful shutdown of the daemon that answers. */
export async function drain(ctx: CommandContext): Promise<void> {
	const {body} = await ctx.client.call({method: 'POST', path: 'drain'});
	ctx.printer.value(body, `${ctx.client.server} drains: it leaves the list of entry hosts, ends its requests and stops`);
}
