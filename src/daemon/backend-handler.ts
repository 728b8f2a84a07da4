import {type IncomingMessage, type ServerResponse} from 'node:http';
import {z} from 'zod';
import {backendKind} from '../common/control/backend-server.js';
import {type BackendRegistrar} from '../common/control/backend-registrar.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type BackendSelector} from '../common/routing/backend-selector.js';
import {sendJson} from './http-error.js';
import {parseAddress} from './listen-address.js';
import {readBody} from './read-body.js';

const count = z.number().min(0);
const identity = {id: z.string().min(1).max(100), incarnation: z.int().min(0)};
const announcementSchema = z.strictObject({
	...identity,
	address: z.string().refine(text => parseAddress(text) !== undefined, 'must be an IP address and a port'),
	zone: z.string().min(1).max(63),
	kind: z.enum(backendKind),
	offers: z.array(z.strictObject({ref: z.string().regex(/^[^@]+@[^@]+$/v), inputCost: count, outputCost: count})).max(64).default([]),
	services: z.array(z.string()).max(64).default([]),
	checksFencing: z.boolean().default(false),
	checksSender: z.boolean().default(false),
	capacity: z.int().positive(),
	canResume: z.boolean().default(false),
	acceptsOrders: z.boolean().default(false),
	load: z.strictObject({
		running: count, queued: count, queuedTokens: count, prefillRate: count, decodeRate: count,
	}).default({
		running: 0, queued: 0, queuedTokens: 0, prefillRate: 0, decodeRate: 0,
	}),
});
const leaveSchema = z.strictObject(identity);
const hashes = z.array(z.int()).max(10_000);
const cacheEventSchema = z.strictObject({
	...identity, sequence: z.int().min(0), stored: hashes, evicted: hashes,
});

/** Maximum size of an announcement or a cache event in bytes. */
const maxBodyBytes = 262_144;

/** Handles the requests of backend servers: `announce`, `leave` and `cache-events`. */
export class BackendHandler {
	constructor(private readonly _registrar: BackendRegistrar, private readonly _selector: BackendSelector) {}

	async handle(req: IncomingMessage, res: ServerResponse, path: string): Promise<void> {
		const text = await readBody(req, maxBodyBytes);
		switch (`${req.method} ${path}`) {
			case 'POST announce': {
				const {load, ...server} = parseBody(announcementSchema, text);
				const result = await this._registrar.announce(server, load);
				sendJson(res, result.status === 'accepted' ? 200 : 409, result);
				return;
			}

			case 'POST leave': {
				sendJson(res, 200, await this._registrar.leave(parseBody(leaveSchema, text)));
				return;
			}

			case 'POST cache-events': {
				const {id, incarnation, ...event} = parseBody(cacheEventSchema, text);
				this._selector.reportCache(id, incarnation, event);
				sendJson(res, 200, {status: 'accepted'});
				return;
			}

			default: {
				throw new RefusalError('not-found', `There is no ${req.method} ${path}.`, {status: 404});
			}
		}
	}
}

function parseBody<Schema extends z.ZodType>(schema: Schema, text: string): z.output<Schema> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new RefusalError('malformed-json', 'The body is not valid JSON.', {status: 400, cause: error});
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new RefusalError('invalid-field', `The field ${issue!.path.join('.') || 'body'} is not accepted: ${issue!.message}.`, {status: 400, param: issue!.path.join('.')});
	}

	return result.data;
}
