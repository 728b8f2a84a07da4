import {type Dispatcher} from 'undici';
import {ForwardingHandler, type Handler} from './forwarding-handler.js';

/** Error of a request of which nothing was written, because it was no longer allowed when its connection was open. */
export class NotStartedError extends Error {
	override readonly name = 'NotStartedError';
}

/** Returns an interceptor of the HTTP client that asks immediately before a request is written whether it still may be. */
export function startCheck(mayStart: () => boolean): Dispatcher.DispatcherComposeInterceptor {
	return dispatch => (options, handler) => dispatch(options, new StartCheckHandler(handler, mayStart));
}

class StartCheckHandler extends ForwardingHandler {
	constructor(handler: Handler, private readonly _mayStart: () => boolean) {
		super(handler);
	}

	override onRequestStart(...args: Parameters<Required<Handler>['onRequestStart']>): void {
		super.onRequestStart(...args);
		if (!this._mayStart()) {
			const [controller] = args;
			controller.abort(new NotStartedError('the request is no longer allowed'));
		}
	}
}
