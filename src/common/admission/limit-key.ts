/** Key of the limits and fair share of a customer. It includes the service, because each service document sets its own limits. */
export function limitKey(service: string, customer: string): string {
	return `${service}/${customer}`;
}
