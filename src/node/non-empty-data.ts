import {type Dispatcher} from 'undici';
import {ForwardingHandler, type Handler} from './forwarding-handler.js';

/** Interceptor of the HTTP client that drops data of no bytes: the client reports them when it resumes, and a pause at that point would never end. */
export const nonEmptyData: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, new NonEmptyDataHandler(handler));

class NonEmptyDataHandler extends ForwardingHandler {
	override onResponseData(...args: Parameters<Required<Handler>['onResponseData']>): void {
		const [, chunk] = args;
		if (chunk.length > 0) {
			super.onResponseData(...args);
		}
	}
}
