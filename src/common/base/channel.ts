import {Stream} from 'most';
import {type Disposable} from './disposable.js';
import {Emitter} from './emitter.js';

/** Channel between tasks: pushed values are read as a `most` stream. */
export class Channel<T> implements Disposable {
	/** Emits the values pushed after subscription, synchronously and in order. */
	readonly stream: Stream<T>;
	private readonly _emitter = new Emitter<T>();
	private readonly _onClose = new Emitter<void>();

	constructor() {
		this.stream = new Stream<T>({
			run: (sink, scheduler) => {
				const values = this._emitter.event(value => {
					sink.event(scheduler.now(), value);
				});
				const end = this._onClose.event(() => {
					sink.end(scheduler.now());
				});
				return {
					dispose() {
						values.dispose();
						end.dispose();
					},
				};
			},
		});
	}

	push(value: T): void {
		this._emitter.fire(value);
	}

	/** Ends the stream for all subscribers. */
	dispose(): void {
		this._onClose.fire();
		this._emitter.dispose();
		this._onClose.dispose();
	}
}
