import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {EngineError} from '../common/entry/engine-error.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {executionStatus} from '../common/entry/execution-status.js';

/** Faults that switch off one mechanism, to show that the checks notice it. */
export const plantedFaults: Readonly<Record<string, (services: EntryServices) => EntryServices>> = {
	/** Takes work without a lease. */
	lease: services => ({...services, lease: {expiresAt: Number.MAX_SAFE_INTEGER, isValid: () => true}}),
	/** Gives each request of a session the version that is best now. */
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
	/** Completes answers before their bill. */
	bill: services => alterBegin(services, async (begin, record) => {
		const begun = await begin(record);
		if (begun.status === 'run') {
			begun.request.finish = async () => undefined;
		}

		return begun;
	}),
	/** Ignores idempotency keys. */
	keys: services => alterBegin(services, async (begin, record) => begin({...record, key: undefined})),
	/** Takes every broken connection for one that was never opened. */
	ran: services => ({
		...services,
		engines: {
			async call(call, signal) {
				const answer = await services.engines.call(call, signal);
				return {...answer, chunks: claimNotRun(answer.chunks)};
			},
		},
	}),
	/** Loses a part of each answer. */
	chunk: services => ({
		...services,
		engines: {
			async call(call, signal) {
				const answer = await services.engines.call(call, signal);
				return {...answer, chunks: loseOne(answer.chunks)};
			},
		},
	}),
};

type Begin = EntryServices['ledger']['requests']['begin'];

function alterBegin(services: EntryServices, alter: (begin: Begin, record: Parameters<Begin>[0]) => ReturnType<Begin>): EntryServices {
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

async function * claimNotRun(chunks: AsyncIterable<AnswerChunk>): AsyncGenerator<AnswerChunk> {
	try {
		yield * chunks;
	} catch (error) {
		throw new EngineError('unreachable', 'no connection', executionStatus.no, {cause: error});
	}
}

async function * loseOne(chunks: AsyncIterable<AnswerChunk>): AsyncGenerator<AnswerChunk> {
	let position = 0;
	for await (const chunk of chunks) {
		if (position++ !== 1) {
			yield chunk;
		}
	}
}
