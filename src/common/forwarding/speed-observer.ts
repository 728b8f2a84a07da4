import {type ServerRecord} from './server-pool.js';

/** An attempt whose times are compared with those of similar attempts at other servers. */
export interface TimedAttempt {
	readonly record: ServerRecord;
	readonly service: string;
	/** Name of the route and of the model; undefined for requests to plain services. Attempts with the same names are similar. */
	readonly route: string;
	readonly model: string | undefined;
	/** Length of the prompt; 0 for requests to plain services. */
	readonly inputTokens: number;
	readonly sentAt: number;
}

/** Records the times of one attempt. */
export interface SpeedProbe {
	/** Records that a valid answer has begun, or that the attempt was given up while it waited for one. */
	recordFirstEvent(now: number): void;
	/** Records the pace of the answer in milliseconds for 1,024 bytes. */
	recordPace(msPerKib: number): void;
	/** Ends the observation; without a first event the attempt then says nothing. */
	end(): void;
}

/** Observes how long servers take, so that each one gets as much load as it handles well. */
export interface SpeedObserver {
	observe(attempt: TimedAttempt): SpeedProbe;
}

/** Records nothing. */
export const nullSpeedProbe: SpeedProbe = {recordFirstEvent: () => undefined, recordPace: () => undefined, end: () => undefined};

/** Observes nothing. */
export const nullSpeedObserver: SpeedObserver = {observe: () => nullSpeedProbe};
