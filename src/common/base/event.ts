import {type Disposable} from './disposable.js';

/** Subscribes a listener; dispose the result to unsubscribe. */
export type Event<T> = (listener: (value: T) => void) => Disposable;
