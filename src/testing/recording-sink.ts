import {answerFraming, type AnswerFraming} from '../common/forwarding/answer-framing.js';
import {type CallerSink, type Refusal} from '../common/forwarding/caller-sink.js';

/** Caller sink that records what it receives. */
export class RecordingSink implements CallerSink {
	status: number | undefined;
	framing: AnswerFraming | undefined;
	text = '';
	refusal: Refusal | undefined;
	isEnded = false;
	isCut = false;
	/** Whether the caller reads as fast as it is sent to. */
	isKeepingUp = true;
	onDisconnect: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	/** Called when the answer has ended, completely or not, or was refused. */
	onFinished: (() => void) | undefined;

	get canStream(): boolean {
		return true;
	}

	get isStarted(): boolean {
		return this.status !== undefined;
	}

	writeHead(status: number, _headers: readonly string[], length: number | undefined): void {
		this.status = status;
		this.framing = length === undefined ? answerFraming.chunked : answerFraming.length;
	}

	write(chunk: Uint8Array): boolean {
		this.text += new TextDecoder().decode(chunk);
		return this.isKeepingUp;
	}

	end(): void {
		this.isEnded = true;
		this.onFinished?.();
	}

	break(): void {
		this.isCut = true;
		this.onFinished?.();
	}

	refuse(refusal: Refusal): void {
		this.refusal = refusal;
		this.onFinished?.();
	}
}
