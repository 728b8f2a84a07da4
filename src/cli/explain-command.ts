import {type RequestExplanation} from '../common/entry/request-history.js';
import {type AttemptUsage} from '../common/ledger/ledger-record.js';
import {type Bill} from '../common/ledger/ledger.js';
import {type RequestReport} from '../common/status/request-report.js';
import {type CommandContext} from './command-context.js';
import {formatTable} from './table.js';

/** Shows the plan, the attempts and the bill of a request. */
export async function explain(ctx: CommandContext, requestId: string): Promise<void> {
	const report = await ctx.client.read<RequestReport<RequestExplanation>>(`explain/${encodeURIComponent(requestId)}`);
	ctx.printer.value(report, [
		`request ${requestId}${report.entry === undefined ? '' : ` at entry host ${report.entry}`}`,
		...(report.explanation ? planLines(report.explanation) : [`plan: ${report.missing ?? 'not kept'}`]),
		...attemptLines(report.bill?.attempts ?? report.explanation?.attempts ?? []),
		report.bill ? billLine(report.bill) : 'bill: none (the request was refused before it was opened, or its bill is not yet durable)',
	].join('\n'));
}

function planLines(explanation: RequestExplanation): string[] {
	const {service, customer, urgency, requestClass, session, plan, pinned, outcome, refusalCode, firstTokenMs, betweenTokensMs} = explanation;
	const steps = (plan?.steps ?? []).map(({ref, minConfidence, ratingProbability}, index) => {
		const acceptance = minConfidence === undefined ? 'accepted in any case' : `accepted at a confidence of ${minConfidence.toFixed(3)} or more`;
		return `  step ${index + 1}: ${ref}, ${acceptance}, rated with probability ${ratingProbability.toFixed(3)}`;
	});
	const times = [
		...(firstTokenMs === undefined ? [] : [`first token at the caller after ${firstTokenMs.toFixed(1)} ms`]),
		...(betweenTokensMs === undefined ? [] : [`${betweenTokensMs.toFixed(1)} ms between tokens`]),
	];
	return [
		`service ${service}, customer ${customer}, urgency ${urgency}${requestClass === undefined ? '' : `, class ${requestClass}`}${session === undefined ? '' : `, session ${session}`}`,
		plan ? `plan: ${plan.reason}${pinned === undefined ? '' : ` (the session stays on ${pinned})`}` : 'plan: none',
		...steps,
		`outcome: ${outcome}${refusalCode === undefined ? '' : `, refused with ${refusalCode}`}${times.length > 0 ? `; ${times.join(', ')}` : ''}`,
	];
}

function attemptLines(attempts: readonly AttemptUsage[]): string[] {
	return attempts.length === 0 ? ['attempts: none'] : ['attempts:', formatTable(['attemptId', 'ref', 'server', 'outcome', 'inputTokens', 'outputTokens', 'cost'], attempts)];
}

function billLine({outcome, ref, cost, customer, at}: Bill): string {
	return `bill: ${outcome}${ref === undefined ? '' : ` by ${ref}`}, cost ${cost.toPrecision(4)} to ${customer}, at ${new Date(at).toISOString()}`;
}
