import {type ServerResponse} from 'node:http';

/** Resolves when the response can be written to again or its connection has closed. */
export async function untilWritable(res: ServerResponse): Promise<void> {
	if (res.destroyed) {
		return;
	}

	return new Promise(resolve => {
		// Removes both listeners, so that they do not accumulate over the waits of a long answer.
		const finish = () => {
			res.off('drain', finish);
			res.off('close', finish);
			resolve();
		};

		res.on('drain', finish);
		res.on('close', finish);
	});
}
