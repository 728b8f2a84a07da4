import {EngineLoad} from './engine-load.js';
import {ModelSpeed} from './model-speed.js';

/** Speeds of the models of each service. */
export class ModelSpeeds {
	private readonly _speeds = new Map<string, ModelSpeed>();
	private readonly _loads = new Map<string, EngineLoad>();

	/** `_followsLoad`: whether the expected times of all models follow the load of the engines. */
	constructor(private readonly _followsLoad = false) {}

	of(service: string, model: string): ModelSpeed {
		const key = `${service}/${model}`;
		let speed = this._speeds.get(key);
		if (!speed) {
			speed = new ModelSpeed(this.load(service));
			this._speeds.set(key, speed);
		}

		return speed;
	}

	/** Load of the engines of a service; undefined when the expected times do not follow it. */
	load(service: string): EngineLoad | undefined {
		let load = this._loads.get(service);
		if (!load && this._followsLoad) {
			load = new EngineLoad();
			this._loads.set(service, load);
		}

		return load;
	}
}
