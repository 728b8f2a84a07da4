import {type Dispatcher} from 'undici';

type Handler = Dispatcher.DispatchHandler;

/** Interceptor of the HTTP client that drops data of no bytes: the client reports them when it resumes, and a pause at that point would never end. */
export const nonEmptyData: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, new NonEmptyDataHandler(handler));

class NonEmptyDataHandler implements Handler {
	constructor(private readonly _handler: Handler) {}

	onRequestStart(...args: Parameters<Required<Handler>['onRequestStart']>): void {
		this._handler.onRequestStart?.(...args);
	}

	onResponseStart(...args: Parameters<Required<Handler>['onResponseStart']>): void {
		this._handler.onResponseStart?.(...args);
	}

	onResponseData(...args: Parameters<Required<Handler>['onResponseData']>): void {
		const [, chunk] = args;
		if (chunk.length > 0) {
			this._handler.onResponseData?.(...args);
		}
	}

	onResponseEnd(...args: Parameters<Required<Handler>['onResponseEnd']>): void {
		this._handler.onResponseEnd?.(...args);
	}

	onResponseError(...args: Parameters<Required<Handler>['onResponseError']>): void {
		this._handler.onResponseError?.(...args);
	}
}
