import {measureHttp, type HttpResult} from '../control-http.js';
import {ControlRig, type RigResult, type RigSize} from '../control-rig.js';

/** Measurement of the control protocol at one size. */
export interface ControlSample {
	readonly size: Required<RigSize>;
	readonly result: RigResult;
	/** Bytes of a renewal and its reply on the socket, with headers. */
	readonly wireBytes: number;
}

/** Target size with 20 customers. */
export const targetSize: Required<RigSize> = {
	daemons: 370, engines: 690, services: 1, traffic: {customers: 20, requestsPerSecond: 8000 / 370},
};
/** Current size. The load per host of the largest user is assumed to be 1 request/s per engine. */
export const todaySize: Required<RigSize> = {
	daemons: 9, engines: 16, services: 1, traffic: {customers: 10, requestsPerSecond: 16 / 9},
};

/**
Size at which all dimensions except the number of daemons are varied. CPU time of the leader grows with the square of the number
of daemons, so that a run of all variations at the target size would take minutes.
*/
const baseSize: Required<RigSize> = {...targetSize, daemons: 100, engines: 186};
const {traffic} = targetSize;
const variations: ReadonlyArray<readonly [name: string, sizes: ReadonlyArray<Required<RigSize>>]> = [
	['daemons', [25, 50, 100, 150, 200].map(daemons => ({...targetSize, daemons}))],
	['engines a daemon', [100, 186, 400, 690].map(engines => ({...baseSize, engines}))],
	['customers', [10, 20, 40].map(customers => ({...baseSize, traffic: {...traffic, customers}}))],
	['requests/s a daemon', [5, 10, 20, 40].map(requestsPerSecond => ({...baseSize, traffic: {...traffic, requestsPerSecond}}))],
	['services', [1, 2, 3].map(services => ({...baseSize, engines: 186 * services, services}))],
];

/** Rounds before and during a measurement; grants of a new leader become stable after one lease. */
const warmUpRounds = 5;
const rounds = 2;

async function measure(size: Required<RigSize>, overheadBytes: number): Promise<ControlSample[]> {
	const rig = await ControlRig.start(size);
	await rig.run(warmUpRounds);
	const samples: ControlSample[] = [];
	for (let round = 0; round < rounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- rounds follow each other
		const result = await rig.run(1);
		samples.push({size, result, wireBytes: result.requestBytes + result.replyBytes + overheadBytes});
	}

	rig.dispose();
	return samples;
}

/** Samples by varied dimension, and samples at the target size and at the current size. */
export interface ControlSamples {
	readonly byVariation: ReadonlyMap<string, readonly ControlSample[]>;
	readonly target: ControlSample;
	readonly today: ControlSample;
	readonly http: HttpResult;
	/** Bytes that HTTP and JSON-RPC add to a renewal and its reply. */
	readonly overheadBytes: number;
}

/** Measures the renewal for different numbers of daemons, engines, customers, requests and services. */
export async function measureControl(): Promise<ControlSamples> {
	const rig = await ControlRig.start(targetSize);
	await rig.run(warmUpRounds);
	const {requestText, replyText} = await rig.run(1);
	rig.dispose();
	const httpResult = await measureHttp(requestText, replyText);
	const overheadBytes = httpResult.requestBytes + httpResult.replyBytes - requestText.length - replyText.length;
	const target = await measure(targetSize, overheadBytes);
	const byVariation = new Map<string, ControlSample[]>();
	for (const [name, sizes] of variations) {
		const samples: ControlSample[] = [];
		for (const size of sizes) {
			// eslint-disable-next-line no-await-in-loop -- one measurement at a time
			samples.push(...await measure(size, overheadBytes));
		}

		byVariation.set(name, samples);
	}

	const today = await measure(todaySize, overheadBytes);
	return {
		byVariation, target: target.at(-1)!, today: today.at(-1)!, http: httpResult, overheadBytes,
	};
}
