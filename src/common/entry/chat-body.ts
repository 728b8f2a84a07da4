/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {z} from 'zod';
import {RefusalError} from './refusal-error.js';

const loose = z.looseObject({});

/** Fields of a chat completion request that are forwarded to engines. */
const chatBodySchema = z.strictObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string()})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.strictObject({include_usage: z.boolean().optional(), include_obfuscation: z.boolean().optional()}).nullish(),
	n: z.literal(1, 'must be 1: a request has one answer').nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
	temperature: z.number().nullish(),
	top_p: z.number().nullish(),
	presence_penalty: z.number().nullish(),
	frequency_penalty: z.number().nullish(),
	logit_bias: z.record(z.string(), z.number()).nullish(),
	stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
	seed: z.int().nullish(),
	user: z.string().nullish(),
	metadata: z.record(z.string(), z.string()).nullish(),
	response_format: loose.nullish(),
	tools: z.array(loose).nullish(),
	tool_choice: z.union([z.string(), loose]).nullish(),
	parallel_tool_calls: z.boolean().nullish(),
	logprobs: z.boolean().nullish(),
	top_logprobs: z.int().nullish(),
	reasoning_effort: z.string().nullish(),
	store: z.literal(false, 'answers are not stored').nullish(),
});

/** Validated body of a chat completion request. */
export type ChatBody = z.output<typeof chatBodySchema>;

/**
Parses and validates the body of a chat completion request.

@throws RefusalError naming the first invalid field.
*/
export function checkChatBody(text: string): ChatBody {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new RefusalError('malformed-json', 'The body is not valid JSON.', {status: 400, cause: error});
	}

	const result = chatBodySchema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const [issue] = result.error.issues;
	const param = issue!.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]].join('.') : issue!.path.join('.');
	const code = issue!.code === 'unrecognized_keys' ? 'unknown-field' : 'invalid-field';
	throw new RefusalError(code, `The field ${param || 'body'} is not accepted: ${issue!.message}.`, {status: 400, param});
}

/** Text of a message; content that is not a string is encoded as JSON. */
function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

/** Text of all messages, used for prefix hashes, token estimates and ratings. */
export function promptText(body: ChatBody): string {
	return body.messages.map(message => `${message.role}: ${contentText(message.content)}`).join('\n');
}
