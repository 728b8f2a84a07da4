import {isIP} from 'node:net';

/** Host and port of a listener or a peer. */
export interface ListenAddress {
	readonly host: string;
	readonly port: number;
}

/** Parses `ip:port`, with an IPv6 address in brackets. @returns undefined when the text is malformed. */
export function parseAddress(text: string): ListenAddress | undefined {
	const match = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v.exec(text);
	const host = match?.groups?.v6 ?? match?.groups?.v4;
	const port = Number(match?.groups?.port);
	return host !== undefined && isIP(host) !== 0 && port <= 65_535 ? {host, port} : undefined;
}

/** Whether the host is reachable from this machine only. */
export function isLoopback(host: string): boolean {
	return host === '::1' || host.startsWith('127.');
}
