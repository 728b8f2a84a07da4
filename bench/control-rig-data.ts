import {checkDocument} from '../src/common/documents/parse-document.js';
import {type ServiceDocument} from '../src/common/documents/service-document.js';

/** References of the 16 versions of a service. */
export const versionsOf = (service: number) => Array.from({length: 16}, (_, index) => `model-${service}-${Math.floor(index / 4)}@v${index % 4}`);
/** Number of availability zones at the target size. */
export const zones = 6;

/** Announcement of an engine; each engine offers two versions of its service. */
export function createEngine(index: number, services = 1) {
	const versions = versionsOf(index % services);
	return {
		id: `engine-${index}`,
		incarnation: 1_800_000_000_000 + index,
		address: `10.1.0.${index}:8000`,
		zone: `zone-${Math.floor(index / services) % zones}`,
		kind: 'engine' as const,
		offers: [0, 1].map(offset => ({ref: versions[(Math.floor(index / services) + (offset * 5)) % versions.length]!, inputCost: 0.15, outputCost: 0.6})),
		services: [],
		checksFencing: true,
		checksSender: true,
		capacity: 64,
	};
}

/**
Creates the document of a service with 16 versions. `limitedCustomers` gives the number of customers with rate limits, which
the target load does not reach; without it there are 10 customers without token limits.
*/
export function createDocument(service: number, limitedCustomers?: number): ServiceDocument {
	return checkDocument({
		service: `service-${service}`,
		versions: versionsOf(service),
		customers: Array.from({length: limitedCustomers ?? 10}, (_, index) => ({
			name: `customer-${index}`,
			keySha256: String(index).padStart(64, '0'),
			requestsPerSecond: limitedCustomers === undefined ? 50 : 12_000 / limitedCustomers,
			...(limitedCustomers !== undefined && {tokensPerSecond: 6_400_000 / limitedCustomers}),
		})),
		quality: {target: 0.8, confidence: 0.95},
	});
}
