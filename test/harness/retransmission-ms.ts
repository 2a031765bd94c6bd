/** Time that is lost until a packet gets through, if each is lost with a probability and sent again after a time that doubles. */
export function retransmissionMs(loss: number, firstMs: number): number {
	let sum = 0;
	for (let ms = firstMs; Math.random() < loss; ms *= 2) {
		sum += ms;
	}

	return sum;
}
