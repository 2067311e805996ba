/** Checks whether a process listens at an address, by opening and closing a connection. */
import { connect } from 'node:net';

/** `refused`: the host answers, but nothing listens. `unknown`: timeout or another error. */
export type ListenerState = 'listening' | 'refused' | 'unknown';

/** Probes `address` (`IP:PORT`) for at most `timeoutMs`. Never rejects. */
export function probeListener(address: string, timeoutMs: number): Promise<ListenerState> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
    const finish = (state: ListenerState) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    // After a pause of this process the timer fires first; an answer that has arrived is read before the immediate.
    const timer = setTimeout(() => setImmediate(finish, 'unknown'), timeoutMs);
    socket.once('connect', () => finish('listening'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
}
