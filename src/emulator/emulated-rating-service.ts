import {type Disposable} from '../common/base/disposable.js';
import {type RatingRequest} from '../common/routing/rating-client.js';
import {type HttpListener, listenHttp, readJson} from './http-listener.js';

/** A rating service over HTTP. */
export class EmulatedRatingService implements Disposable {
	/** Whether requests are refused with status 503. */
	isDown = false;
	/** Number of ratings returned. */
	count = 0;
	private _listener: HttpListener | undefined;

	/** `_rate` returns the rating of an answer in [0, 1]. */
	constructor(private readonly _rate: (req: RatingRequest) => number) {}

	/** Base URL; available once started. */
	get url(): string {
		return `http://${this._listener!.address}`;
	}

	async start(): Promise<void> {
		this._listener = await listenHttp((req, res) => {
			void (async () => {
				const body = await readJson(req) as RatingRequest;
				if (this.isDown) {
					res.writeHead(503).end('{}');
					return;
				}

				this.count++;
				res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({rating: this._rate(body)}));
			})();
		});
	}

	dispose(): void {
		this._listener?.dispose();
	}
}
