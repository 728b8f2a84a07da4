import {type ServerRecord} from './server-pool.js';

/** What an attempt at a backend server is evidence on. */
export interface ReleaseSubject {
	readonly service: string;
	readonly route: string;
	readonly record: ServerRecord;
	readonly model: string | undefined;
}

/** Observes the attempts of all requests, as evidence on the releases of their backend servers. */
export interface ReleaseObserver {
	recordSent(subject: ReleaseSubject): void;
	/** Records the head of an answer; `isFailed` tells whether the server ran the request and answered with an error status. */
	recordAnswer(subject: ReleaseSubject, isFailed: boolean): void;
	/** Records an attempt without a complete answer; `hasHead` tells whether its head was recorded. */
	recordBroken(subject: ReleaseSubject, hasHead: boolean): void;
	/** Records the time in milliseconds to the head of an answer, or to the moment at which the attempt was given up before it. */
	recordHeadTime(subject: ReleaseSubject, latencyMs: number): void;
	/** Records the mean time in milliseconds for 1,024 bytes of the body. */
	recordPace(subject: ReleaseSubject, msPerKib: number): void;
}
