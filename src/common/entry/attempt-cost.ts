import {type BackendServer} from '../control/backend-server.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type EngineUsage} from './engine-client.js';

/** Prices are given per million tokens. */
const tokensPerPricedUnit = 1_000_000;

/** Cost of an attempt in the operator's currency unit, at the price that the backend server announced. */
export function attemptCost(server: BackendServer, ref: VersionRef, usage: EngineUsage): number {
	const offer = server.offers.find(offer => offer.ref === ref);
	return offer ? ((usage.inputTokens * offer.inputCost) + (usage.outputTokens * offer.outputCost)) / tokensPerPricedUnit : 0;
}
