/** Draws the delay of a packet in milliseconds, if each transmission is lost with the probability `loss` and the retransmission timeout starts at `firstMs` and doubles. */
export function retransmissionMs(loss: number, firstMs: number): number {
	let sum = 0;
	for (let ms = firstMs; Math.random() < loss; ms *= 2) {
		sum += ms;
	}

	return sum;
}
