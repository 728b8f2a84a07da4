import {type Dispatcher} from 'undici';

/** Handler of the events of an HTTP client. */
export type Handler = Dispatcher.DispatchHandler;

/** Passes the events of an HTTP client on to another handler. */
export class ForwardingHandler implements Handler {
	constructor(private readonly _handler: Handler) {}

	onRequestStart(...args: Parameters<Required<Handler>['onRequestStart']>): void {
		this._handler.onRequestStart?.(...args);
	}

	onResponseStart(...args: Parameters<Required<Handler>['onResponseStart']>): void {
		this._handler.onResponseStart?.(...args);
	}

	onResponseData(...args: Parameters<Required<Handler>['onResponseData']>): void {
		this._handler.onResponseData?.(...args);
	}

	onResponseEnd(...args: Parameters<Required<Handler>['onResponseEnd']>): void {
		this._handler.onResponseEnd?.(...args);
	}

	onResponseError(...args: Parameters<Required<Handler>['onResponseError']>): void {
		this._handler.onResponseError?.(...args);
	}
}
