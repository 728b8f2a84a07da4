import {type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/**
Turns of the event loop in which the end of a connection is read, if it has arrived together with the request. Node closes the
connection in the turns after the one that reads the end; three are needed.
*/
const endTurns = 5;

/** Reads what has arrived on the connection of a caller and tells whether the caller has closed it. */
export async function hasLeft(socket: Socket): Promise<boolean> {
	for (let turn = 0; turn < endTurns && !socket.destroyed; turn++) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- one turn after another
	}

	return socket.destroyed;
}
