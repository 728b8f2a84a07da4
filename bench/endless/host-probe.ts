/** Preloaded into a host: measures its event loop, its memory and what it reads from its servers. Answers each message with the figures since the last one. */
import {subscribe} from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {type HostFigures, type ReadFigures} from './host-figures.js';

const sampleMs = 5;
const memorySampleSteps = 10;

let reads = new Map<string, ReadFigures>();
const open = new Map<Socket, number>();
let longestPauseMs = 0;
let longestHeldMs = 0;
let peakBytes = 0;
let steps = 0;
let at = performance.now();
let loopMs = loopProcessorMs();
let usageAtStart = process.cpuUsage();

/** Returns the processor time of the thread with the event loop; that of the process includes its helpers. */
function loopProcessorMs(): number {
	return Number(readFileSync('/proc/self/schedstat', 'utf8').split(' ')[0]) / 1e6;
}

/** Counts the bytes that a connection has read since it was last counted. */
function count(socket: Socket, bytesBefore: number): void {
	const {remoteAddress} = socket;
	const address = remoteAddress ?? addresses.get(socket);
	if (address === undefined) {
		return;
	}

	const figures = reads.get(address) ?? {bytes: 0, longest: 0, connections: 0};
	reads.set(address, {
		bytes: figures.bytes + socket.bytesRead - bytesBefore,
		longest: Math.max(figures.longest, socket.bytesRead),
		connections: figures.connections + (bytesBefore === 0 ? 1 : 0),
	});
}

const addresses = new WeakMap<Socket, string>();

subscribe('net.client.socket', message => {
	const {socket} = message as {socket: Socket};
	open.set(socket, 0);
	socket.once('connect', () => {
		addresses.set(socket, socket.remoteAddress!);
	});
	socket.once('close', () => {
		count(socket, open.get(socket) ?? 0);
		open.delete(socket);
	});
});

setInterval(() => {
	const now = performance.now();
	const usedMs = loopProcessorMs();
	const pauseMs = now - at - sampleMs;
	longestPauseMs = Math.max(longestPauseMs, pauseMs);
	// Time that the process did not get does not count as held.
	longestHeldMs = Math.max(longestHeldMs, Math.min(pauseMs, usedMs - loopMs));
	if (steps++ % memorySampleSteps === 0) {
		peakBytes = Math.max(peakBytes, process.memoryUsage.rss());
	}

	at = now;
	loopMs = usedMs;
}, sampleMs).unref();

process.on('message', () => {
	for (const [socket, bytesBefore] of open) {
		count(socket, bytesBefore);
		open.set(socket, socket.bytesRead);
	}

	const {user, system} = process.cpuUsage(usageAtStart);
	const figures: HostFigures = {
		reads: Object.fromEntries(reads), longestPauseMs, longestHeldMs, processorMs: (user + system) / 1000, peakBytes,
	};
	process.send!(figures);
	reads = new Map();
	longestPauseMs = 0;
	longestHeldMs = 0;
	peakBytes = 0;
	usageAtStart = process.cpuUsage();
});
process.channel?.unref();
