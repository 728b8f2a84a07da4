import {type RandomSource} from '../common/base/random-source.js';
import {checkRouting} from '../common/forwarding/check-routing.js';
import {repetition, type Route, type RoutingConfig} from '../common/forwarding/routing-config.js';
import {testRoute} from './forwarder-fixture.js';

const parsed = new Map<string, RoutingConfig>();
const maxParsed = 4;
const letters = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** Parses the text of a sample; the parsed form is shared, because all hosts of a simulation parse the same texts. */
export function parseRoutingSample(source: string): RoutingConfig {
	let cfg = parsed.get(source);
	if (!cfg) {
		cfg = checkRouting(JSON.parse(source) as RoutingConfig);
		parsed.set(source, cfg);
		if (parsed.size > maxParsed) {
			parsed.delete(parsed.keys().next().value!);
		}
	}

	return cfg;
}

/** Configurations as an operator sends them, each based on the previous one. */
export class RoutingSamples {
	private readonly _routes: Route[] = [];
	private _version = 0;
	private _length = 0;

	constructor(private readonly _random: RandomSource) {}

	/** Length of the last text in characters. */
	get length(): number {
		return this._length;
	}

	/** Adds routes. @returns the text of the next version. */
	addRoutes(count: number): {version: number; source: string} {
		for (let index = 0; index < count; index++) {
			this._routes.push(this._route());
		}

		return this._next();
	}

	/** Changes the time-out of one route. @returns the text of the next version. */
	changeTimeout(): {version: number; source: string} {
		const index = this._random.integer(this._routes.length);
		const route = this._routes[index]!;
		this._routes[index] = {...route, timeoutMs: route.timeoutMs + 10};
		return this._next();
	}

	private _next(): {version: number; source: string} {
		this._version++;
		const cfg: RoutingConfig = {
			version: this._version,
			routes: this._routes,
			services: [{
				name: 's', healthPath: '/', maxConnections: 100, slots: undefined, models: [],
			}],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			customers: undefined,
		};
		const source = JSON.stringify(cfg);
		this._length = source.length;
		return {version: this._version, source};
	}

	private _route(): Route {
		const name = `r-${this._word(7)}`;
		return testRoute({
			name, hostname: `${this._word(6)}.example`, pathPrefix: `/${this._word(8)}/`, repetition: repetition.stream, timeoutMs: 5000, targetPauseMs: 800, priority: this._random.integer(3), isAnonymous: false,
		});
	}

	private _word(length: number): string {
		return Array.from({length}, () => letters[this._random.integer(letters.length)]).join('');
	}
}
