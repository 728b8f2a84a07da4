import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {checkChatBody, promptText} from '../common/entry/chat-body.js';
import {entitlementsOf, resolveModel} from '../common/entry/caller-identity.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {requestClass} from '../common/entry/request-class.js';
import {type RequestContext} from '../common/entry/request-context.js';
import {RequestRunner} from '../common/entry/request-runner.js';
import {estimateTokens} from '../common/entry/token-estimate.js';
import {setIdHeaders} from './answer-headers.js';
import {callerSignal} from './caller-signal.js';
import {bearerHash, readCallerHeaders, sha256} from './caller-headers.js';
import {asRefusal} from './http-error.js';
import {JsonSink} from './json-sink.js';
import {readBody} from './read-body.js';
import {StreamSink} from './stream-sink.js';

/** Handles `POST /v1/chat/completions`. */
export class ChatHandler {
	constructor(private readonly _services: EntryServices, private readonly _ids: {next(): string}, private readonly _entry: string) {}

	/** @throws RefusalError when the request is refused before the response has started. */
	async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const requestId = this._ids.next();
		const signal = callerSignal(res);
		try {
			const ctx = await this._context(req, requestId);
			if (ctx.body.stream) {
				await this._stream(ctx, res, signal);
			} else {
				const sink = new JsonSink(res, this._entry, this._services.clock, ctx.body.logprobs ?? false);
				await new RequestRunner(this._services, ctx, sink).run(signal);
			}
		} catch (error) {
			setIdHeaders(res, requestId, this._entry);
			throw error;
		}
	}

	private async _stream(ctx: RequestContext, res: ServerResponse, signal: AbortSignal): Promise<void> {
		const sink = new StreamSink(res, this._entry, this._services.clock, {
			includeUsage: ctx.body.stream_options?.include_usage ?? false,
			includeLogprobs: ctx.body.logprobs ?? false,
		});
		try {
			await new RequestRunner(this._services, ctx, sink).run(signal);
		} catch (error) {
			if (!sink.isStarted) {
				throw error;
			}

			sink.fail(asRefusal(error));
		}
	}

	private async _context(req: IncomingMessage, requestId: string): Promise<RequestContext> {
		const entitlements = entitlementsOf(this._services.view, bearerHash(req));
		const headers = readCallerHeaders(req);
		// The service is known only after parsing, so reading is bounded by the largest limit among the customer's services.
		const text = await readBody(req, Math.max(...entitlements.map(({document}) => document.limits.maxBodyBytes)));
		const body = checkChatBody(text);
		const {customer, document, requested} = resolveModel(entitlements, body.model);
		const {limits} = document;
		if (Buffer.byteLength(text) > limits.maxBodyBytes) {
			throw new RefusalError('body-too-large', `The body has more than ${limits.maxBodyBytes} bytes.`, {status: 413});
		}

		const prompt = promptText(body);
		const inputTokens = estimateTokens(prompt);
		return {
			requestId,
			customer,
			document,
			requested,
			requestClass: requestClass(headers.requestClass, inputTokens),
			urgency: headers.urgency ?? document.urgency,
			session: headers.session,
			key: headers.key,
			// The hash detects an idempotency key that is reused with another body.
			bodyHash: headers.key === undefined ? '' : sha256(text),
			idempotent: !(headers.nonIdempotent ?? false),
			deadlineAt: this._services.clock.now() + Math.min(headers.deadlineMs ?? limits.deadlineMs, limits.deadlineMs),
			body,
			prompt,
			inputTokens,
			maxTokens: Math.min(body.max_completion_tokens ?? body.max_tokens ?? limits.maxTokens, limits.maxTokens),
		};
	}
}
