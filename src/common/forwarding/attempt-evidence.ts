import {AnswerPace} from './answer-pace.js';
import {type ReleaseObserver, type ReleaseSubject} from './release-observer.js';
import {nullSpeedProbe, type SpeedProbe} from './speed-observer.js';

/** Time in milliseconds after the first chunk of an answer at which its pace is recorded, so that slow streams are noticed before their end. */
const paceSampleMs = 500;

/** Evidence of one attempt on the release and the speed of its backend server. */
export class AttemptEvidence {
	private readonly _pace = new AnswerPace();
	private _hasHead = false;
	/** Whether the answer is valid; the pace of an error or a refusal says nothing about the speed of the server. */
	private _isValid = false;
	private _hasPace = false;

	constructor(private readonly _observer: ReleaseObserver, private readonly _subject: ReleaseSubject, private readonly _sentAt: number, private readonly _probe: SpeedProbe = nullSpeedProbe) {
		_observer.recordSent(_subject);
	}

	/** Time in milliseconds from the first chunk to the last one; undefined before the second chunk. */
	get bodyMs(): number | undefined {
		return this._pace.bodyMs;
	}

	/** Records the head of an answer to this request. */
	recordHead(isFailed: boolean, now: number): void {
		this._hasHead = true;
		this._observer.recordAnswer(this._subject, isFailed);
		this._observer.recordHeadTime(this._subject, now - this._sentAt);
		if (isFailed) {
			this._probe.end();
		} else {
			this._isValid = true;
			this._probe.recordFirstEvent(now);
		}
	}

	recordChunk(now: number, bytes: number): void {
		this._pace.record(now, bytes);
		if ((this._pace.bodyMs ?? 0) >= paceSampleMs) {
			this._recordPace();
		}
	}

	/** Records that the answer will not be complete. */
	recordBroken(): void {
		this._observer.recordBroken(this._subject, this._hasHead);
	}

	/** Records that the server has been silent for too long. */
	recordSilence(now: number): void {
		if (this._hasHead) {
			this.recordBroken();
		} else {
			this._observer.recordHeadTime(this._subject, now - this._sentAt);
			this._probe.recordFirstEvent(now);
		}
	}

	/** Records what is known at the end of the attempt. */
	finish(): void {
		this._recordPace();
		this._probe.end();
	}

	private _recordPace(): void {
		const {msPerKib} = this._pace;
		if (!this._hasPace && msPerKib !== undefined) {
			this._hasPace = true;
			this._observer.recordPace(this._subject, msPerKib);
			if (this._isValid) {
				this._probe.recordPace(msPerKib);
			}
		}
	}
}
