/** Checks texts of other processes that name an address to which requests are sent. */
import { isIPv4, isIPv6 } from 'node:net';

const MAX_PORT = 65_535;
const HOST_AND_PORT = /^(?:\[([0-9a-fA-F:.]+)\]|([A-Za-z0-9._-]+)):(\d{1,5})$/;

/** Whether a text is `HOST:PORT` with a port other than 0; an IPv6 address stands in brackets. */
export function isHostAndPort(text: string): boolean {
  const [, bracketed, host = '', digits] = HOST_AND_PORT.exec(text) ?? [];
  const port = Number(digits);
  if (!(port > 0 && port <= MAX_PORT)) return false;
  return bracketed === undefined ? host.length > 0 : isIPv6(bracketed);
}

/** Like `isHostAndPort`, for an IP address as the host. */
export function isIpAndPort(text: string): boolean {
  return isHostAndPort(text) && (text.startsWith('[') || isIPv4(text.slice(0, text.lastIndexOf(':'))));
}
