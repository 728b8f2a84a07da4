import {type Socket} from 'node:net';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {type HeldPart} from '../common/base/held-bytes.js';

/** Interval in milliseconds between two checks. */
const checkIntervalMs = 50;
/** Memory that the HTTP parser takes for each byte of a head, about. */
const parsedFactor = 2;

/** The head that a connection may be sending. */
type OpenHead = {
	readonly part: HeldPart;
	/** Bytes that were read before the head. */
	start: number;
	/** Whether a request is being read beyond its head. */
	isBody: boolean;
};

/** Counts the bytes of request heads that are not complete, at intervals. */
export class OpenHeads implements Disposable {
	private readonly _heads = new Map<Socket, OpenHead>();
	private _timer: Disposable | undefined;

	constructor(private readonly _clock: Clock, private readonly _hold: (socket: Socket) => HeldPart) {}

	/** Adds a connection on which the first request may begin. */
	add(socket: Socket): void {
		const head = {part: this._hold(socket), start: 0, isBody: false};
		this._heads.set(socket, head);
		socket.once('close', () => {
			head.part.dispose();
			this._heads.delete(socket);
		});
		this._schedule();
	}

	/** Records that a head is complete. */
	complete(socket: Socket): void {
		const head = this._heads.get(socket);
		if (head) {
			head.isBody = true;
			head.part.set(0);
		}
	}

	/** Records that a request is read; the next head may begin. */
	expect(socket: Socket): void {
		const head = this._heads.get(socket);
		if (head) {
			head.isBody = false;
			head.start = socket.bytesRead;
		}
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _schedule(): void {
		this._timer ??= this._clock.setTimer(checkIntervalMs, () => {
			this._timer = undefined;
			for (const [socket, {part, start, isBody}] of this._heads) {
				if (!isBody) {
					part.set((socket.bytesRead - start) * parsedFactor);
				}
			}

			if (this._heads.size > 0) {
				this._schedule();
			}
		});
	}
}
