import {type IncomingMessage} from 'node:http';
import {z} from 'zod';
import {type ControlFollower} from '../common/control/control-follower.js';
import {parseDocument} from '../common/documents/parse-document.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {hasLeft} from '../node/has-left.js';
import {changeReply, evacuationReply, type OperatorReply} from './operator-errors.js';
import {readBody} from './read-body.js';

/** Maximum size of a document in bytes. */
const maxDocumentBytes = 1_048_576;
const withdrawalSchema = z.strictObject({service: z.string(), ref: z.string()});
const liftSchema = z.strictObject({service: z.string(), requestClass: z.string(), ref: z.string()});
const evacuationSchema = z.strictObject({zone: z.string()});
const querySchema = z.object({
	changeId: z.string().min(1).max(200),
	baseRevision: z.coerce.number().int().min(0).optional(),
});

/** Proposes the configuration changes of operators. */
export class OperatorChanges {
	constructor(private readonly _follower: ControlFollower) {}

	async submit(req: IncomingMessage, query: URLSearchParams): Promise<OperatorReply> {
		const document = parseDocument(await readBody(req, maxDocumentBytes));
		return changeReply(await this._follower.propose({type: 'submit-document', document, ...readChange(query)}));
	}

	async remove(service: string, query: URLSearchParams): Promise<OperatorReply> {
		return changeReply(await this._follower.propose({type: 'remove-document', service, ...readChange(query)}));
	}

	async withdraw(req: IncomingMessage, query: URLSearchParams): Promise<OperatorReply> {
		const fields = await readFields(req, withdrawalSchema, 'A withdrawal needs the fields service and ref.');
		return changeReply(await this._follower.propose({type: 'withdraw-version', ...fields, ...readChange(query)}));
	}

	/** Lifts a quarantine. Needs no change id, because a repeated request finds no quarantine and is refused. */
	async lift(req: IncomingMessage): Promise<OperatorReply> {
		const fields = await readFields(req, liftSchema, 'To lift a quarantine takes the fields service, requestClass and ref.');
		const {service, requestClass, ref} = fields;
		const isKnown = [...this._follower.view.quarantines].some(record => record.service === service && record.requestClass === requestClass && record.ref === ref);
		if (!isKnown) {
			throw new RefusalError('quarantine-unknown', `There is no quarantine of ${ref} for the class ${requestClass} of ${service}.`, {status: 404});
		}

		return changeReply(await this._follower.propose({type: 'lift-quarantine', reason: 'lifted by an operator', ...fields}));
	}

	/** Orders that the backend servers of a zone get no requests. Needs no change id, because a repeated order changes nothing. */
	async evacuate(req: IncomingMessage): Promise<OperatorReply> {
		const {zone} = await readFields(req, evacuationSchema, 'An evacuation needs the field zone.');
		return this._changeEvacuation(req, 'evacuate-zone', zone);
	}

	/** Withdraws the order to evacuate a zone. */
	async endEvacuation(req: IncomingMessage, zone: string): Promise<OperatorReply> {
		return this._changeEvacuation(req, 'end-evacuation', zone);
	}

	private async _changeEvacuation({socket}: IncomingMessage, type: 'evacuate-zone' | 'end-evacuation', zone: string): Promise<OperatorReply> {
		const {entryHosts, backendServers, evacuations} = this._follower.view;
		const last = evacuations.get(zone);
		// An evacuation must be withdrawable when all hosts of its zone have left.
		if (!last && ![...entryHosts.values(), ...backendServers.values()].some(host => host.zone === zone)) {
			throw new RefusalError('zone-unknown', `No entry host or backend server is in the zone ${zone}.`, {status: 404});
		}

		if (await hasLeft(socket)) {
			// A daemon that was stopped for a while finds orders among its input whose senders have given up and ordered otherwise elsewhere.
			throw new RefusalError('cancelled', 'The caller went away.', {status: 503});
		}

		return evacuationReply(await this._follower.propose({
			type, zone, base: last?.revision ?? 0, at: 0,
		}));
	}
}

async function readFields<Fields>(req: IncomingMessage, schema: z.ZodType<Fields>, message: string): Promise<Fields> {
	const parsed = schema.safeParse(parseJson(await readBody(req, maxDocumentBytes)));
	if (!parsed.success) {
		throw new RefusalError('invalid-change', message, {status: 400});
	}

	return parsed.data;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function readChange(query: URLSearchParams): z.output<typeof querySchema> {
	const parsed = querySchema.safeParse(Object.fromEntries(query));
	if (!parsed.success) {
		throw new RefusalError('invalid-change', 'A change needs a changeId, and baseRevision must be a whole number if given.', {status: 400});
	}

	return parsed.data;
}
