import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {hashString} from '../base/hash-string.js';
import {type Logger} from '../base/logger.js';
import {PeerTimeoutError, PeerUnreachableError} from '../base/peer-errors.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';
import {type TextCodec} from '../base/text-codec.js';
import {applyDifference, type TextDifference} from '../base/text-difference.js';
import {routingContentMethod} from './control-methods.js';
import {type RoutingContentReply} from './routing-content-message.js';
import {type RoutingRecord} from './routing-record.js';

/** Options of `RoutingFetcher`. */
export interface RoutingFetcherOptions {
	readonly transport: PeerTransport;
	/** Names of the control hosts. */
	readonly voters: () => readonly string[];
	/** The presumed leader, which is asked only when another host does not answer. */
	readonly leader: () => string | undefined;
	/** Whether calls to a host have recently timed out; it is asked only when there is no other. */
	readonly isSlow: (host: string) => boolean;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly codec: TextCodec;
	/** The configuration that this daemon acts by. */
	readonly current: () => RoutingRecord | undefined;
	/** Called with each configuration that was received. */
	readonly onFetched: (record: RoutingRecord) => void;
}

/** Timeout in milliseconds of a call for one part; doubles with each consecutive failure. */
const initialTimeoutMs = 700;
const maxTimeoutMs = 4000;
/** Delay in milliseconds before another host is asked. */
const retryMs = 20;
const maxRetryMs = 400;
/** Number of consecutive failures for which one line is logged. */
const failuresPerLogLine = 10;

/** A configuration of which the first parts were received. */
type Transfer = {readonly reply: RoutingContentReply; readonly data: string};

/** Fetches the content of routing configurations from control hosts, as the difference to the configuration in use. */
export class RoutingFetcher implements Disposable {
	private _wanted = 0;
	private _isRunning = false;
	private _failures = 0;
	private _transfer: Transfer | undefined;
	/** Host that sent the last part. */
	private _host: string | undefined;
	private readonly _stop = new AbortController();

	constructor(private readonly _options: RoutingFetcherOptions) {}

	/** Fetches a configuration of at least this revision, unless this daemon has one. */
	request(revision: number): void {
		this._wanted = Math.max(this._wanted, revision);
		if (!this._isRunning && this._isBehind) {
			void this._run();
		}
	}

	dispose(): void {
		this._stop.abort();
	}

	private get _isBehind(): boolean {
		return (this._options.current()?.revision ?? 0) < this._wanted && !this._stop.signal.aborted;
	}

	private async _run(): Promise<void> {
		const {clock, logger, counters} = this._options;
		this._isRunning = true;
		const startedAt = clock.now();
		let parts = 0;
		while (this._isBehind) {
			const host = this._chooseHost();
			try {
				const record = await this._fetchPart(host); // eslint-disable-line no-await-in-loop -- parts follow each other
				parts++;
				this._failures = 0;
				if (record) {
					counters.timing('control.routing-fetch', clock.now() - startedAt);
					logger.info({
						version: record.version, revision: record.revision, ms: Math.round(clock.now() - startedAt), parts, from: host,
					}, 'routing content fetched');
					this._options.onFetched(record);
				}
			} catch (error) {
				counters.increment('control.routing-fetch-failures');
				if (this._failures % failuresPerLogLine === 0) {
					logger.warn({
						revision: this._wanted, from: host, failures: this._failures + 1, err: error,
					}, 'routing content could not be fetched');
				}

				this._failures++;
				// eslint-disable-next-line no-await-in-loop -- waits before the next attempt
				await sleep(clock, Math.min(maxRetryMs, retryMs * (2 ** Math.min(this._failures, 10))), this._stop.signal);
			}
		}

		this._isRunning = false;
	}

	/**
	The host that sent the last part. At first any control host but the leader, so that large contents do not hold up renewals;
	the leader after a failure, because others may lag or run an earlier release.
	*/
	private _chooseHost(): string {
		const {voters, leader, isSlow, random} = this._options;
		if (this._host !== undefined && this._failures === 0) {
			return this._host;
		}

		const all = voters();
		const leading = leader();
		const followers = all.filter(host => host !== leading);
		const sound = followers.filter(host => !isSlow(host));
		const others = sound.length > 0 ? sound : followers;
		this._host = others.length === 0 || (this._failures % 2 === 1 && leading !== undefined) ? leading ?? all[0]! : others[random.integer(others.length)]!;
		return this._host;
	}

	/** Fetches the next part. @returns the configuration, once it is complete. */
	private async _fetchPart(host: string): Promise<RoutingRecord | undefined> {
		const timeoutMs = Math.min(maxTimeoutMs, initialTimeoutMs * (2 ** Math.min(this._failures, 10)));
		const {reply: begun, data = ''} = this._transfer ?? {};
		try {
			const reply = await this._options.transport.call(host, routingContentMethod, {
				// A transfer that has begun is completed even if a later configuration is wanted by now, which then costs its difference only.
				revision: begun?.revision ?? this._wanted, base: begun?.base ?? this._options.current()?.revision ?? 0, continued: begun?.revision, offset: data.length,
			}, timeoutMs);
			if (begun && (begun.base !== reply.base || begun.length !== reply.length)) {
				throw new Error(`the parts of revision ${reply.revision} do not belong together`);
			}

			const received = data + reply.data;
			this._transfer = {reply, data: received};
			return received.length < reply.length ? undefined : this._complete(received, reply);
		} catch (error) {
			// A part that only takes long does not cost those received before it.
			if (!(error instanceof PeerTimeoutError || error instanceof PeerUnreachableError)) {
				this._transfer = undefined;
			}

			throw error;
		}
	}

	/** @throws Error when the parts do not form the text that the control host has. */
	private _complete(data: string, {version, revision, base, checksum}: RoutingContentReply): RoutingRecord {
		this._transfer = undefined;
		this._host = undefined;
		const current = this._options.current();
		if (base !== 0 && base !== current?.revision) {
			throw new Error(`the difference is based on revision ${base}, not on ${current?.revision ?? 'none'}`);
		}

		const source = applyDifference(base === 0 ? '' : current!.source, JSON.parse(this._options.codec.decode(data)) as TextDifference);
		if (hashString(source) !== checksum) {
			throw new Error(`the checksum of the text of revision ${revision} does not match`);
		}

		return {version, revision, source};
	}
}
