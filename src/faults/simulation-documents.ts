import {checkDocument} from '../common/documents/parse-document.js';
import {type ServiceDocument} from '../common/documents/service-document.js';

/** Versions of the model service, cheapest first. */
export const modelVersions = ['small@1', 'mid@1', 'large@1'] as const;
/** Hash of the bearer key of the customer. */
export const customerKey = 'a'.repeat(64);

/** Document of the model service; each `edit` gives a different document. */
export function modelDocument(edit: number): ServiceDocument {
	return checkDocument({
		service: 'summaries',
		customers: [{name: 'acme', keySha256: customerKey}],
		versions: [...modelVersions],
		quality: {target: 0.5},
		limits: {deadlineMs: 8000, maxTokens: 100 + edit},
	});
}

/** Document of the plain service. */
export function plainDocument(): ServiceDocument {
	return checkDocument({
		service: 'bookings', kind: 'plain', customers: [{name: 'acme', keySha256: customerKey}], limits: {deadlineMs: 8000},
	});
}
