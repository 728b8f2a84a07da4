/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {type VersionRef} from '../common/documents/version-ref.js';
import {prefixHashes} from '../common/entry/prefix-hashes.js';
import {estimateTokens} from '../common/entry/token-estimate.js';
import {engineHeaders, orderPath} from '../node/engine-protocol.js';
import {reportedConfidence} from './answer-model.js';
import {EngineBatch, type EngineSpeed} from './engine-batch.js';
import {type EngineFaults, noFaults} from './engine-faults.js';
import {type HttpListener, listenHttp, readJson} from './http-listener.js';
import {PrefixCache} from './prefix-cache.js';

/** Options of `EmulatedEngine`. */
export interface EmulatedEngineOptions extends EngineSpeed {
	/** Skill in [0, 1] of each version. */
	readonly skills: ReadonlyMap<VersionRef, number>;
	/** Length of an answer in tokens. */
	readonly answerTokens: number;
	/** Capacity of the prefix cache in blocks. */
	readonly cacheBlocks: number;
	/** Versions that it can load when ordered, with their skill. */
	readonly loadable?: ReadonlyMap<VersionRef, number>;
	/** Time in milliseconds to load a version. */
	readonly loadMs?: number;
}

type EngineBody = {
	model: string;
	messages: Array<{role: string; content?: unknown}>;
	max_tokens: number;
	priority?: number;
	continue_after?: {tokens: number};
};

/** A model engine with the chat completion interface over HTTP. Tests can switch faults on and off. */
export class EmulatedEngine implements Disposable {
	readonly faults: EngineFaults = noFaults();
	/** Ids of the attempts that the engine accepted, in order of arrival. */
	readonly executed: string[] = [];
	/** Time to the deadline in milliseconds that each attempt was sent with. */
	readonly deadlines = new Map<string, number>();
	/** Ids of the attempts whose connection was closed before the end of the answer. */
	readonly cancelled = new Set<string>();
	/** Version of each executed attempt. */
	readonly executedRefs = new Map<string, VersionRef>();
	private readonly _skills: Map<VersionRef, number>;
	private _fencing = 0;
	private readonly _batch: EngineBatch;
	private readonly _cache: PrefixCache;
	private _listener: HttpListener | undefined;

	constructor(private readonly _clock: Clock, private readonly _options: EmulatedEngineOptions) {
		this._skills = new Map(_options.skills);
		this._batch = new EngineBatch(_clock, _options);
		this._cache = new PrefixCache(_options.cacheBlocks);
	}

	/** Address as `host:port`; available once started. */
	get address(): string {
		return this._listener!.address;
	}

	/** Versions that the engine currently serves. */
	get refs(): readonly VersionRef[] {
		return [...this._skills.keys()];
	}

	/** Load in the form in which engines report it. */
	get load() {
		return {
			running: this._batch.running,
			queued: this._batch.queued,
			queuedTokens: this._batch.queuedTokens,
			prefillRate: this._options.prefillRate,
			decodeRate: this._batch.decodeRate,
		};
	}

	/** Starts to listen. For port 0 the operating system chooses the port. */
	async start(port = 0): Promise<void> {
		this._listener = await listenHttp((req, res) => {
			void this._handle(req, res);
		}, port);
	}

	dispose(): void {
		this._listener?.dispose();
		this._batch.dispose();
	}

	private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.url === orderPath) {
			await this._handleOrder(req, res);
			return;
		}

		const body = await readJson(req) as EngineBody;
		const skill = this._skills.get(body.model);
		if (this.faults.refuses || skill === undefined) {
			res.writeHead(this.faults.refuses ? 503 : 404, {[engineHeaders.ran]: 'no'}).end();
			return;
		}

		const attempt = String(req.headers[engineHeaders.attempt]);
		this.executed.push(attempt);
		this.executedRefs.set(attempt, body.model);
		this.deadlines.set(attempt, Number(req.headers[engineHeaders.deadlineMs]));
		res.once('close', () => {
			if (!res.writableFinished) {
				this.cancelled.add(attempt);
			}
		});
		if (this.faults.resetsBeforeAnswer) {
			res.destroy();
		}

		if (this.faults.hangs || this.faults.resetsBeforeAnswer) {
			return;
		}

		this._answer({
			body, skill: skill * this.faults.skillFactor, attempt, res,
		});
	}

	/** Executes an order to load a version, unless a later leader has already sent one. */
	private async _handleOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {ref} = await readJson(req) as {ref: VersionRef};
		const fencing = Number(req.headers[engineHeaders.fencing]);
		const skill = this._options.loadable?.get(ref);
		if (fencing < this._fencing || skill === undefined) {
			res.writeHead(skill === undefined ? 404 : 409).end();
			return;
		}

		this._fencing = fencing;
		res.writeHead(202).end();
		this._clock.setTimer(this._options.loadMs ?? 0, () => {
			this._skills.set(ref, skill);
		});
	}

	private _answer({body, skill, attempt, res}: {body: EngineBody; skill: number; attempt: string; res: ServerResponse}): void {
		const prompt = body.messages.map(({role, content}) => `${role}: ${String(content)}`).join('\n');
		const inputTokens = estimateTokens(prompt);
		const hashes = prefixHashes(prompt);
		const cachedShare = hashes.length === 0 ? 0 : this._cache.match(hashes) / hashes.length;
		this._cache.store(hashes);
		const skippedTokens = body.continue_after?.tokens ?? 0;
		const total = this.faults.sendsEmptyAnswer ? 0 : Math.min(body.max_tokens, this._options.answerTokens);
		const logprob = Math.log(reportedConfidence(prompt, body.model, skill));
		res.writeHead(200, {
			'content-type': 'text/event-stream',
			[engineHeaders.attempt]: this.faults.returnsWrongAttemptId ? `${attempt}-other` : attempt,
			[engineHeaders.load]: JSON.stringify(this.load),
		});
		res.flushHeaders();
		const send = (choices: unknown[], usage?: unknown) => {
			res.write(`data: ${JSON.stringify({
				id: attempt, object: 'chat.completion.chunk', created: Math.floor(this._clock.wallTime() / 1000), model: body.model, choices, usage,
			})}\n\n`);
		};

		const finish = () => {
			send([{index: 0, delta: {}, finish_reason: total < this._options.answerTokens && total === body.max_tokens ? 'length' : 'stop'}]);
			send([], {prompt_tokens: inputTokens, completion_tokens: total - skippedTokens, total_tokens: inputTokens + total - skippedTokens});
			res.end('data: [DONE]\n\n');
		};

		const job = this._batch.add({
			priority: body.priority ?? 0,
			newTokens: Math.ceil(inputTokens * (1 - cachedShare)),
			outputTokens: Math.max(1, total - skippedTokens),
			onToken: (index, isLast) => {
				if (total > 0) {
					const position = index + skippedTokens;
					send([{
						index: 0,
						delta: {...(position === 0 && {role: 'assistant'}), content: `${position === 0 ? '' : ' '}word${position}`},
						finish_reason: null,
						logprobs: {content: [{token: `word${position}`, logprob}]},
					}]);
				}

				if (this.faults.resetAfterTokens !== undefined && index + 1 >= this.faults.resetAfterTokens) {
					res.destroy();
					job.dispose();
				} else if (isLast) {
					finish();
				}
			},
		});
		res.on('close', () => {
			job.dispose();
		});
	}
}
