import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type ConfigLease} from './config-lease.js';

/** The configuration lease of this daemon, measured on its own monotonic clock. */
export class LeaseHolder implements ConfigLease, Disposable {
	private _expiresAt = Number.NEGATIVE_INFINITY;
	private _currentUntil = Number.NEGATIVE_INFINITY;
	private _isSuperseded = false;
	private _isHeld = false;
	private _timer: Disposable | undefined;
	private readonly _onGained = new Emitter<void>();
	private readonly _onLost = new Emitter<void>();
	private readonly _onConfirmed = new Emitter<void>();

	constructor(private readonly _clock: Clock) {}

	/** Raised when a lease begins after a time without one. */
	get onGained(): Event<void> {
		return this._onGained.event;
	}

	/** Raised when the lease has expired or was ended. */
	get onLost(): Event<void> {
		return this._onLost.event;
	}

	/** Raised when `currentUntil` advances, and when a configuration is no longer superseded. */
	get onConfirmed(): Event<void> {
		return this._onConfirmed.event;
	}

	get expiresAt(): number {
		return this._expiresAt;
	}

	get currentUntil(): number {
		return this._currentUntil;
	}

	get isSuperseded(): boolean {
		return this._isSuperseded;
	}

	set isSuperseded(isSuperseded: boolean) {
		const hasEnded = this._isSuperseded && !isSuperseded;
		this._isSuperseded = isSuperseded;
		if (hasEnded) {
			this._onConfirmed.fire();
		}
	}

	isValid(): boolean {
		return this._clock.now() < this._expiresAt;
	}

	/** Extends the lease; never shortens it. */
	extend(expiresAt: number): void {
		if (expiresAt <= this._expiresAt || expiresAt <= this._clock.now()) {
			return;
		}

		if (!this.isValid()) {
			// The expiry timer may not have fired yet.
			this._reportLoss();
		}

		this._expiresAt = expiresAt;
		this._timer?.dispose();
		this._timer = this._clock.setTimer(expiresAt - this._clock.now(), () => {
			this._checkExpiry();
		});
		if (!this._isHeld) {
			this._isHeld = true;
			this._onGained.fire();
		}
	}

	/** Shortens the lease. */
	limit(expiresAt: number): void {
		if (expiresAt < this._expiresAt) {
			this._expiresAt = expiresAt;
			if (this._isHeld) {
				this._timer?.dispose();
				this._timer = this._clock.setTimer(Math.max(0, expiresAt - this._clock.now()), () => {
					this._checkExpiry();
				});
			}
		}
	}

	/** Records that the applied configuration was the newest one at `currentUntil`; never moves back. */
	confirm(currentUntil: number): void {
		if (currentUntil > this._currentUntil) {
			this._currentUntil = currentUntil;
			this._onConfirmed.fire();
		}
	}

	/** Ends the lease at once. */
	end(): void {
		this._expiresAt = Math.min(this._expiresAt, this._clock.now());
		this._reportLoss();
	}

	dispose(): void {
		this.end();
		this._onGained.dispose();
		this._onLost.dispose();
		this._onConfirmed.dispose();
	}

	private _checkExpiry(): void {
		if (this.isValid()) {
			// A timer may fire slightly early.
			this._timer = this._clock.setTimer(Math.max(1, this._expiresAt - this._clock.now()), () => {
				this._checkExpiry();
			});
		} else {
			this._reportLoss();
		}
	}

	private _reportLoss(): void {
		this._timer?.dispose();
		if (this._isHeld) {
			this._isHeld = false;
			this._onLost.fire();
		}
	}
}
