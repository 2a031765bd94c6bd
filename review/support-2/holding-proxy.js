import net from 'node:net';

/** A TCP proxy in front of one address. While it holds, what either side sends, and the end of it, waits; after `release` it arrives in order, as after a partition in which neither side has reset the channel. */
export class HoldingProxy {
	#server;
	#isHolding = false;
	#waiting = [];
	#sockets = new Set();

	constructor({host, port}) {
		this.#server = net.createServer({allowHalfOpen: true}, client => {
			const target = net.connect({host, port, allowHalfOpen: true});
			this.#pass(client, target);
			this.#pass(target, client);
		});
	}

	/** Listens at a free port of the address; resolves with the port. */
	async listen(host) {
		return new Promise(resolve => {
			this.#server.listen({host, port: 0}, () => {
				resolve(this.#server.address().port);
			});
		});
	}

	hold() {
		this.#isHolding = true;
	}

	/** Resumes; returns what had waited. */
	release() {
		this.#isHolding = false;
		const waiting = this.#waiting.splice(0);
		for (const {action} of waiting) {
			action();
		}

		return waiting.map(({what}) => what);
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#pass(from, to) {
		this.#sockets.add(from);
		from.on('error', () => undefined);
		from.on('close', () => this.#sockets.delete(from));
		from.on('data', bytes => {
			this.#do(bytes.toString('latin1').split('\r\n', 1)[0], () => to.write(bytes));
		});
		from.on('end', () => {
			this.#do('the end of the channel', () => to.end());
		});
	}

	#do(what, action) {
		if (this.#isHolding) {
			this.#waiting.push({what, action});
		} else {
			action();
		}
	}
}
