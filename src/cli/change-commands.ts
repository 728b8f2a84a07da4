import {parseDocument} from '../common/documents/parse-document.js';
import {type ServiceDocument} from '../common/documents/service-document.js';
import {DocumentError} from '../common/documents/document-error.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {documentDifferences} from './document-differences.js';
import {exitCode} from './exit-code.js';
import {waitInForce} from './in-force-wait.js';
import {errorOf, type OperatorReply} from './operator-client.js';

/** Options of commands that change the configuration. */
export interface ChangeOptions {
	/** Makes it safe to repeat the command; generated when absent. */
	readonly changeId?: string;
	/** Revision on which the change is based. */
	readonly base?: number;
	/** Whether to wait until the change is in force. */
	readonly wait?: boolean;
	/** Longest wait in seconds. */
	readonly timeout?: number;
}

/** A change that was sent to the daemon. */
type SentChange = ChangeOptions & {changeId: string; description: string; submitted?: ServiceDocument};
type Accepted = {status: string; revision: number; reason?: string};

/** Checks a document without sending it. */
export async function validate(ctx: CommandContext, file: string): Promise<void> {
	const document = await readDocument(ctx, file);
	ctx.printer.value(document, `${file}: the document of ${document.service} is valid`);
}

/** Shows how a document differs from the current one. */
export async function diff(ctx: CommandContext, file: string): Promise<void> {
	const document = await readDocument(ctx, file);
	const {status, body} = await ctx.client.call({path: `documents/${document.service}`});
	const current = status === 200 ? (body as {document: ServiceDocument}).document : undefined;
	ctx.printer.rows(['path', 'present', 'submitted'], documentDifferences(current, document));
}

/** Submits a document. */
export async function submit(ctx: CommandContext, file: string, options: ChangeOptions): Promise<void> {
	const text = await ctx.readFile(file);
	const document = await readDocument(ctx, file, text);
	const changeId = options.changeId ?? ctx.newChangeId();
	const reply = await ctx.client.call({
		method: 'POST', path: 'documents', query: {changeId, baseRevision: options.base}, body: text,
	});
	await finishChange(ctx, reply, {
		...options, changeId, description: `the document of ${document.service}`, submitted: document,
	});
}

/** Forbids a version of a service for all new work. */
export async function withdraw(ctx: CommandContext, service: string, ref: string, options: ChangeOptions): Promise<void> {
	const changeId = options.changeId ?? ctx.newChangeId();
	const reply = await ctx.client.call({
		method: 'POST', path: 'withdrawals', query: {changeId, baseRevision: options.base}, body: JSON.stringify({service, ref}),
	});
	await finishChange(ctx, reply, {...options, changeId, description: `the withdrawal of ${ref} from ${service}`});
}

/** Removes the document of a service. */
export async function remove(ctx: CommandContext, service: string, options: ChangeOptions): Promise<void> {
	const changeId = options.changeId ?? ctx.newChangeId();
	const reply = await ctx.client.call({
		method: 'DELETE', path: `documents/${service}`, query: {changeId, baseRevision: options.base},
	});
	await finishChange(ctx, reply, {...options, changeId, description: `the removal of ${service}`});
}

async function readDocument(ctx: CommandContext, file: string, text?: string): Promise<ServiceDocument> {
	try {
		return parseDocument(text ?? await ctx.readFile(file));
	} catch (error) {
		if (error instanceof DocumentError) {
			throw new CliError(exitCode.invalid, `${file}: ${error.message}`, 'Mend the document and run "catkinbeam validate".', {cause: error});
		}

		throw error;
	}
}

async function finishChange(ctx: CommandContext, reply: OperatorReply, change: SentChange): Promise<void> {
	const {changeId, description, wait = false, timeout, submitted} = change;
	if (reply.status !== 200) {
		throw changeError(ctx, reply, changeId, submitted);
	}

	const result = reply.body as Accepted;
	if (wait) {
		await waitInForce(ctx, result.revision, timeout);
	}

	ctx.printer.value({...result, changeId, inForce: wait}, `${description} is ${wait ? 'in force' : 'accepted'} at revision ${result.revision} (change id ${changeId})`);
}

function changeError(ctx: CommandContext, {status, body}: OperatorReply, changeId: string, submitted: ServiceDocument | undefined): CliError {
	const {message, code} = errorOf(body);
	if (status === 409) {
		const {current} = (body as {error: {current?: ServiceDocument}}).error;
		if (current && submitted) {
			ctx.printer.rows(['path', 'present', 'submitted'], documentDifferences(current, submitted));
		}

		const advice = code === 'change-id-reused'
			? 'Use a new change id for a new change.'
			: 'Look at the difference, put your change on top of the present document and submit it with its revision as --base.';
		return new CliError(exitCode.conflict, message, advice);
	}

	if (status === 404) {
		return new CliError(exitCode.notFound, message, 'List the services with "catkinbeam show".');
	}

	if (status === 400 || status === 422) {
		return new CliError(exitCode.invalid, message, 'Mend the change and submit it again.');
	}

	return new CliError(exitCode.unreachable, `${message} (${code})`, `The outcome is not known: repeat the command with --change-id ${changeId}.`);
}
