/** Limits of customers in requests and tokens per second. */
export interface CustomerLimits {
	/**
	Takes one request and its expected tokens from the budget of a customer.

	@returns 0 if the request is within the limit, otherwise the milliseconds until it would be.
	*/
	take(key: string, tokens: number): number;
	/** Returns the budget of a request that was refused for another reason. */
	refund(key: string, tokens: number): void;
	/** Charges the difference between the actual and the expected tokens. */
	settle(key: string, tokens: number): void;
}
