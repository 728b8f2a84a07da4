import process from 'node:process';
import {cac} from 'cac';
import {SystemClock} from '../node/system-clock.js';
import {BackendAnnouncer} from './backend-announcer.js';
import {EmulatedEngine} from './emulated-engine.js';

type Flags = {id: string; ref: string; skill: number; inputCost: number; outputCost: number; homes: string; zone: string; port: number; stepMs: number; tokens: number};

const cli = cac('emulated-engine');
cli.option('--id <id>', 'Id of the backend server', {default: 'engine-1'});
cli.option('--ref <model@version>', 'Version that it serves', {default: 'small@1'});
cli.option('--skill <share>', 'Share of prompts that it answers well', {default: 0.6});
cli.option('--input-cost <price>', 'Price of a million prompt tokens', {default: 0.2});
cli.option('--output-cost <price>', 'Price of a million answer tokens', {default: 0.6});
cli.option('--homes <addresses>', 'Control listeners to announce to, separated by commas', {default: '127.0.0.1:9091'});
cli.option('--zone <zone>', 'Availability zone', {default: 'room-1'});
cli.option('--port <port>', 'Port; 0 lets the system choose', {default: 0});
cli.option('--step-ms <ms>', 'Time between tokens in milliseconds', {default: 10});
cli.option('--tokens <count>', 'Length of an answer in tokens', {default: 20});
cli.help();
const {options} = cli.parse(process.argv, {run: false});

async function main(flags: Flags): Promise<void> {
	const clock = new SystemClock();
	const engine = new EmulatedEngine(clock, {
		skills: new Map([[flags.ref, flags.skill]]), answerTokens: flags.tokens, cacheBlocks: 1000, maxRunning: 16, prefillRate: 20_000, stepMs: flags.stepMs,
	});
	await engine.start(flags.port);
	const incarnation = clock.wallTime();
	const announcer = new BackendAnnouncer({
		server: () => ({
			id: flags.id,
			incarnation,
			address: engine.address,
			zone: flags.zone,
			kind: 'engine',
			offers: [{ref: flags.ref, inputCost: flags.inputCost, outputCost: flags.outputCost}],
			services: [],
			checksFencing: true,
			checksSender: false,
			capacity: 16,
		}),
		load: () => engine.load,
		controlAddresses: flags.homes.split(','),
		secret: process.env.CATKINBEAM_BACKEND_SECRET,
		clock,
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void leave(announcer, engine);
		});
	}

	await announcer.start();
	process.stdout.write(`${flags.id} serves ${flags.ref} at ${engine.address}\n`);
}

/** Leaves the directory before the engine stops, as real engines should do. */
async function leave(announcer: BackendAnnouncer, engine: EmulatedEngine): Promise<void> {
	await announcer.leave();
	engine.dispose();
}

if (!options.help) {
	await main(options as unknown as Flags);
}
