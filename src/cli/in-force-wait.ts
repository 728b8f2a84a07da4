import {type InForceReply} from '../common/control/in-force.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {exitCode} from './exit-code.js';

/** Default timeout in seconds; an accepted change must be in force everywhere within this time. */
const defaultTimeoutSeconds = 11;
const pollMs = 200;

/** Waits until a revision is in force. @throws CliError naming the entry hosts that are behind. */
export async function waitInForce(ctx: CommandContext, revision: number, timeoutSeconds = defaultTimeoutSeconds): Promise<void> {
	let reply: InForceReply | undefined;
	for (let waitedMs = 0; waitedMs <= timeoutSeconds * 1000; waitedMs += pollMs) {
		// eslint-disable-next-line no-await-in-loop -- polls until the revision is in force
		reply = await ctx.client.read<InForceReply>('in-force', {revision});
		if (reply.inForce) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- pause between polls
		await ctx.wait(pollMs);
	}

	const behind = reply!.behind.map(({host}) => host).join(', ');
	const message = `revision ${revision} is accepted but not in force after ${timeoutSeconds} s; behind: ${behind || 'leases of an earlier leader'}`;
	throw new CliError(exitCode.notInForce, message, 'It comes into force by itself; wait with "catkinbeam in-force".');
}
