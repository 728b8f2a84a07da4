import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {
	cp, mkdtemp, readFile, rm, symlink,
} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, it} from 'vitest';

const root = path.resolve(import.meta.dirname, '../..');

/** Finds free ports on loopback. */
async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise<ReturnType<typeof createServer>>(resolve => {
		const server = createServer();
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** Reads the shell commands of a page and replaces its fixed ports with free ones. */
async function commandsOf(page: string): Promise<string> {
	const text = await readFile(path.join(root, page), 'utf8');
	const blocks = [...text.matchAll(/^```sh\n(?<code>.*?)^```$/gmsv)].map(match => match.groups!.code!);
	const ports = await freePorts(6);
	// The shell function `start` of the page derives the ports from the number of the host.
	let code = blocks.join('\n').replace('"127.0.0.1:808$2"', '"127.0.0.1:$(port 808$2)"').replace('"127.0.0.1:909$2"', '"127.0.0.1:$(port 909$2)"');
	const names = ['8081', '8082', '8083', '9091', '9092', '9093'];
	for (const [index, name] of names.entries()) {
		code = code.replaceAll(`127.0.0.1:${name}`, `127.0.0.1:${ports[index]}`);
	}

	const cases = names.map((name, index) => `${name}) echo ${ports[index]};;`).join(' ');
	return `port() { case "$1" in ${cases} esac; }\n${code}`;
}

async function run(shell: ChildProcess): Promise<{code: number | undefined; output: string}> {
	const chunks: Uint8Array[] = [];
	const collect = (chunk: Uint8Array) => {
		chunks.push(chunk);
	};

	shell.stdout!.on('data', collect);
	shell.stderr!.on('data', collect);
	return new Promise(resolve => {
		shell.once('close', code => {
			resolve({code: code ?? undefined, output: Buffer.concat(chunks).toString()});
		});
	});
}

// Guards against commands on operator pages that no longer work.
it('runs the commands of first-fleet.md as written', async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'catkinbeam-pages-'));
	try {
		await symlink(path.join(root, 'dist'), path.join(folder, 'dist'));
		await cp(path.join(root, 'examples'), path.join(folder, 'examples'), {recursive: true});
		const commands = await commandsOf('docs/operators/first-fleet.md');
		const script = `set -eu\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n${commands}`;
		const {code, output} = await run(spawn('bash', ['-c', script], {cwd: folder, stdio: ['ignore', 'pipe', 'pipe']}));
		expect(code, output).toBe(0);
		expect(output).toMatch(/catkinbeam-version: (?:small|large)@1/v);
		expect(output).toContain('data: [DONE]');
		expect(output).toMatch(/withdrawn/v);
	} finally {
		await rm(folder, {recursive: true, force: true});
	}
});
