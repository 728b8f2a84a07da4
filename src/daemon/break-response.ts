import {type ServerResponse} from 'node:http';

/**
Ends a response that is not complete, in such a way that its caller cannot take it for complete.

@param mayEndWithConnection whether the regular close of the connection may complete the response.
*/
export function breakResponse(res: ServerResponse, mayEndWithConnection: boolean): void {
	if (res.writableFinished) {
		return;
	}

	if (res.socket && mayEndWithConnection) {
		res.socket.resetAndDestroy();
	} else {
		res.destroy();
	}
}
