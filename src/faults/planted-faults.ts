import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {EngineError} from '../common/entry/engine-error.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {executionStatus} from '../common/entry/execution-status.js';

/** Faults that disable one mechanism each, to show that the checks detect it. */
export const plantedFaults: Readonly<Record<string, (services: EntryServices) => EntryServices>> = {
	/** Accepts requests without a lease. */
	lease: services => ({
		...services, lease: {
			expiresAt: Number.MAX_SAFE_INTEGER, currentUntil: Number.MAX_SAFE_INTEGER, isSuperseded: false, isValid: () => true,
		},
	}),
	/** Ignores session pins: each request of a session gets a newly chosen version. */
	pins: services => ({
		...services,
		ledger: {
			get requests() {
				return services.ledger.requests;
			},
			get pins() {
				return {resolve: async (_session: unknown, choice: {choose(): string}) => choice.choose()} as unknown as EntryServices['ledger']['pins'];
			},
		},
	}),
	/** Completes answers without writing their bill. */
	bill: services => wrapBegin(services, async (begin, record) => {
		const begun = await begin(record);
		if (begun.status === 'run') {
			begun.request.finish = async () => undefined;
		}

		return begun;
	}),
	/** Ignores idempotency keys. */
	keys: services => wrapBegin(services, async (begin, record) => begin({...record, key: undefined})),
	/** Reports every broken connection as one that was never opened. */
	ran: services => ({
		...services,
		engines: {
			async call(call, signal) {
				const answer = await services.engines.call(call, signal);
				return {...answer, chunks: reportNotRun(answer.chunks)};
			},
		},
	}),
	/** Drops the second chunk of each answer. */
	chunk: services => ({
		...services,
		engines: {
			async call(call, signal) {
				const answer = await services.engines.call(call, signal);
				return {...answer, chunks: dropSecondChunk(answer.chunks)};
			},
		},
	}),
};

type Begin = EntryServices['ledger']['requests']['begin'];

function wrapBegin(services: EntryServices, alter: (begin: Begin, record: Parameters<Begin>[0]) => ReturnType<Begin>): EntryServices {
	const {ledger} = services;
	return {
		...services,
		ledger: {
			get pins() {
				return ledger.pins;
			},
			get requests() {
				const {requests} = ledger;
				const begin: Begin = async record => alter(async original => requests.begin(original), record);
				return {begin} as unknown as EntryServices['ledger']['requests'];
			},
		},
	};
}

async function * reportNotRun(chunks: AsyncIterable<AnswerChunk>): AsyncGenerator<AnswerChunk> {
	try {
		yield * chunks;
	} catch (error) {
		throw new EngineError('unreachable', 'no connection', executionStatus.no, {cause: error});
	}
}

async function * dropSecondChunk(chunks: AsyncIterable<AnswerChunk>): AsyncGenerator<AnswerChunk> {
	let position = 0;
	for await (const chunk of chunks) {
		if (position++ !== 1) {
			yield chunk;
		}
	}
}
