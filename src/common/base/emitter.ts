import {type Disposable} from './disposable.js';
import {type Event} from './event.js';

/** Emits an event to its listeners. The owner keeps the emitter private and exposes `event` as `onX`. */
export class Emitter<T> implements Disposable {
	private readonly _listeners = new Set<(value: T) => void>();

	readonly event: Event<T> = listener => {
		this._listeners.add(listener);
		return {dispose: () => this._listeners.delete(listener)};
	};

	/** Calls the listeners in order of subscription. */
	fire(value: T): void {
		for (const listener of this._listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
