import {type Disposable} from './disposable.js';

/** Collects disposables and disposes them together, in reverse order of addition. */
export class DisposableStore implements Disposable {
	private readonly _items: Disposable[] = [];
	private _isDisposed = false;

	get isDisposed(): boolean {
		return this._isDisposed;
	}

	/** Adds an item and returns it. An item added after disposal is disposed immediately. */
	add<T extends Disposable>(item: T): T {
		if (this._isDisposed) {
			item.dispose();
		} else {
			this._items.push(item);
		}

		return item;
	}

	dispose(): void {
		if (this._isDisposed) {
			return;
		}

		this._isDisposed = true;
		for (const item of this._items.reverse()) {
			item.dispose();
		}

		this._items.length = 0;
	}
}
