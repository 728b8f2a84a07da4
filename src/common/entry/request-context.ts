import {type DocumentCustomer, type ServiceDocument} from '../documents/service-document.js';
import {type Urgency} from '../documents/urgency.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type ChatBody} from './chat-body.js';

/** A validated request to a model service. */
export interface RequestContext {
	readonly requestId: string;
	readonly customer: DocumentCustomer;
	readonly document: ServiceDocument;
	/** Versions of the model that the caller named; all versions when the caller named the service. */
	readonly requested?: readonly VersionRef[];
	readonly requestClass: string;
	readonly urgency: Urgency;
	readonly session?: string;
	/** Idempotency key. */
	readonly key?: string;
	readonly bodyHash: string;
	readonly idempotent: boolean;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly body: ChatBody;
	readonly prompt: string;
	readonly inputTokens: number;
	readonly maxTokens: number;
}
