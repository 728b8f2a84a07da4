import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type EntryList} from '../common/control/entry-list.js';
import {sendJson} from './http-error.js';

/** Handles `GET /v1/entries`: which entry hosts a caller should use, and for how long it may cache the list. */
export class EntriesHandler {
	/** `_zone` is the default for callers that do not name their availability zone. */
	constructor(private readonly _list: EntryList, private readonly _zone: string) {}

	handle(req: IncomingMessage, res: ServerResponse, url: URL): void {
		const caller = url.searchParams.get('caller') ?? req.socket.remoteAddress ?? '';
		const reply = this._list.for(caller, url.searchParams.get('zone') ?? this._zone);
		res.setHeader('cache-control', `max-age=${Math.floor(reply.keepSeconds)}`);
		sendJson(res, 200, reply);
	}
}
