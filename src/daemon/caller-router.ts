/* eslint-disable @typescript-eslint/naming-convention -- field names of the published model list */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ControlView} from '../common/control/control-view.js';
import {allowedVersions, entitlementsOf} from '../common/entry/caller-identity.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {serviceKind} from '../common/documents/service-kind.js';
import {bearerHash} from './caller-headers.js';
import {type ChatHandler} from './chat-handler.js';
import {type EntriesHandler} from './entries-handler.js';
import {sendJson} from './http-error.js';
import {type PlainHandler} from './plain-handler.js';

/** Dependencies of `CallerRouter`. */
export interface CallerRouterOptions {
	readonly view: ControlView;
	readonly chat: ChatHandler;
	readonly plain: PlainHandler;
	readonly entries: EntriesHandler;
}

/** Routes the requests of callers: chat completions, models, entry hosts and plain services. */
export class CallerRouter {
	constructor(private readonly _options: CallerRouterOptions) {}

	/** Handles a request. @throws RefusalError when the request is refused before the response has started. */
	async route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const {chat, plain, entries} = this._options;
		switch (url.pathname) {
			case '/v1/chat/completions': {
				requireMethod(req, res, 'POST');
				return chat.handle(req, res);
			}

			case '/v1/models': {
				requireMethod(req, res, 'GET');
				this._listModels(req, res);
				return;
			}

			case '/v1/entries': {
				requireMethod(req, res, 'GET');
				entries.handle(req, res, url);
				return;
			}

			default: {
				if (url.pathname.startsWith('/services/')) {
					return plain.handle(req, res, url);
				}

				throw new RefusalError('not-found', `There is no ${url.pathname}.`, {status: 404});
			}
		}
	}

	/** Lists the services of the customer and the versions that it may use. */
	private _listModels(req: IncomingMessage, res: ServerResponse): void {
		const ids = new Map<string, string>();
		for (const entitlement of entitlementsOf(this._options.view, bearerHash(req))) {
			const {document} = entitlement;
			if (document.kind === serviceKind.model) {
				ids.set(document.service, document.service);
				for (const ref of allowedVersions(entitlement)) {
					ids.set(ref, document.service);
				}
			}
		}

		sendJson(res, 200, {
			object: 'list',

			data: [...ids].map(([id, service]) => ({
				id, object: 'model', created: 0, owned_by: service,
			})),
		});
	}
}

function requireMethod(req: IncomingMessage, res: ServerResponse, method: string): void {
	if (req.method !== method) {
		res.setHeader('allow', method);
		throw new RefusalError('method-not-allowed', `The method must be ${method}.`, {status: 405});
	}
}
