import {ModelSpeed} from './model-speed.js';

/** Speeds of the models of each service. */
export class ModelSpeeds {
	private readonly _speeds = new Map<string, ModelSpeed>();

	of(service: string, model: string): ModelSpeed {
		const key = `${service}/${model}`;
		let speed = this._speeds.get(key);
		if (!speed) {
			speed = new ModelSpeed();
			this._speeds.set(key, speed);
		}

		return speed;
	}
}
