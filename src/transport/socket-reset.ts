/** Ends connections by a reset, after which the kernel discards what the other side has not received. */
import type { Socket } from 'node:net';

/**
 * Makes the next `destroy` of a socket a reset. `resetAndDestroy` would wait until all bytes are written, which
 * does not end while the other side reads nothing; this is the flag that it sets.
 */
export function resetOnDestroy(socket: Socket): void {
  (socket as Socket & { resetAndClosing: boolean }).resetAndClosing = true;
}
