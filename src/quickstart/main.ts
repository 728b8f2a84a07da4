import {createHash} from 'node:crypto';
import process from 'node:process';
import {getGlobalDispatcher} from 'undici';
import {EmbeddedSystem} from './embedded-system.js';
import {quickstartDocument} from './quickstart-document.js';
import {QuickstartCaller, type BilledAnswer} from './quickstart-caller.js';

/** Number of requests from which the cascade policy learns between the first and the second printed request. */
const learningRequests = 300;
const concurrency = 24;
const key = 'quickstart-key';

async function main(): Promise<void> {
	const system = await EmbeddedSystem.start({
		engines: [
			{
				id: 'engine-small', ref: 'small@1', skill: 0.6, inputCost: 0.2, outputCost: 0.6,
			},
			{
				id: 'engine-large', ref: 'large@1', skill: 0.97, inputCost: 3, outputCost: 12,
			},
		],
	});
	try {
		const caller = new QuickstartCaller(system.callerUrl(), system.controlUrl(), key);
		await caller.submit(quickstartDocument(createHash('sha256').update(key).digest('hex')));
		process.stdout.write('The cascade policy has no estimates yet: it asks the cheap version and then the expensive one.\n');
		const first = await caller.ask('Draft an incident note for alarm 1.');
		print(first);
		process.stdout.write(`Sending ${learningRequests} requests from which it learns.\n`);
		await learn(caller);
		const later = await caller.ask('Draft an incident note for alarm 2.');
		print(later);
		process.stdout.write('A session stays on its version.\n');
		const session = await askSession(caller);
		for (const answer of session) {
			print(answer);
		}

		check({sessionless: [first, later], session});
	} finally {
		await system.stop();
	}
}

async function learn(caller: QuickstartCaller): Promise<void> {
	for (let start = 0; start < learningRequests; start += concurrency) {
		const batch = Array.from({length: Math.min(concurrency, learningRequests - start)}, async (_, index) => caller.send(`Summarise the cooling log ${start + index}.`));
		// eslint-disable-next-line no-await-in-loop -- bounds the concurrency
		await Promise.all(batch);
	}
}

async function askSession(caller: QuickstartCaller): Promise<BilledAnswer[]> {
	const session: BilledAnswer[] = [];
	for (const question of ['first', 'second', 'third']) {
		// eslint-disable-next-line no-await-in-loop -- the requests of a session follow each other
		session.push(await caller.ask(`Answer the ${question} question of the renter.`, 'session-1'));
	}

	return session;
}

function print(answer: BilledAnswer): void {
	process.stdout.write(`${format(answer)}\n`);
}

function format(answer: BilledAnswer): string {
	return [
		`request ${answer.requestId}${answer.session === undefined ? '' : ` of ${answer.session}`}`,
		`  answer   ${answer.text}`,
		`  version  ${answer.version} after ${answer.attempts} attempt${answer.attempts === 1 ? '' : 's'}`,
		`  cost     ${answer.cost.toFixed(8)}   first token ${answer.firstTokenMs.toFixed(1)} ms, whole answer ${answer.totalMs.toFixed(1)} ms`,
		`  bill     ${answer.bills} bill${answer.bills === 1 ? '' : 's'}, outcome ${answer.outcome}, cost ${answer.billedCost.toFixed(8)}`,
	].join('\n');
}

/** @throws Error when no request was escalated, the session changed its version, or a request was not billed exactly once. */
function check({sessionless, session}: {sessionless: readonly BilledAnswer[]; session: readonly BilledAnswer[]}): void {
	const answers = [...sessionless, ...session];
	if (!sessionless.some(({attempts}) => attempts > 1)) {
		throw new Error('no request was escalated');
	}

	if (new Set(session.map(({version}) => version)).size !== 1) {
		throw new Error('the session changed its version');
	}

	const misbilled = answers.find(({bills, outcome, cost, billedCost}) => bills !== 1 || outcome !== 'answered' || cost !== billedCost);
	if (misbilled) {
		throw new Error(`request ${misbilled.requestId} was not billed exactly once`);
	}
}

await main();
// Idle keep-alive connections of the HTTP client would delay the exit of the process.
await getGlobalDispatcher().close();
