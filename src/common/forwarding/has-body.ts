/** Whether the answer to a request has a body, by the rules of HTTP. */
export function hasBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}
