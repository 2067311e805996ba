/** Messages of a replica stand-in in the platform's wire format, whole and with faults. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HEADER } from '../../platform/names.js';

/** The data of an event: it follows from the request and its number alone. */
export function eventData(requestId: string, number: number): string {
  return `${requestId}/${number}`;
}

export function idOf(request: IncomingMessage): string {
  return String(request.headers[HEADER.requestId] ?? '');
}

export function signed(id: string, signature = `signed-${id}`): Record<string, string> {
  return { [HEADER.requestId]: id, [HEADER.signature]: signature };
}

/** The head of an answer, without its framing. */
export function rawHead(id: string, signature: string): string {
  return `HTTP/1.1 200 OK\r\n${HEADER.requestId}: ${id}\r\n${HEADER.signature}: ${signature}\r\n`;
}

export function writeStreamHead(
  response: ServerResponse,
  id: string,
  version: number,
  isUnframed: boolean,
): void {
  if (isUnframed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  const type = { 'content-type': 'text/event-stream' };
  response.writeHead(200, { ...type, ...signed(id), [HEADER.weightVersions]: String(version) });
}

/** An event, with its weight version where that differs from the one before. */
export function eventText(id: string, number: number, version?: number | string): string {
  const change = version === undefined ? '' : `${HEADER.weightVersions}: ${version}\n`;
  return `${change}id: ${number}\ndata: ${eventData(id, number)}\n\n`;
}

/** Ends a stream before its time: an unframed one in order, any other in the middle of an event. */
export function cutStream(
  request: IncomingMessage,
  response: ServerResponse,
  number: number,
  isUnframed: boolean,
): void {
  if (isUnframed) {
    response.end();
    return;
  }
  response.write(`id: ${number}\nda`);
  request.socket.destroy();
}

export function numeric(request: IncomingMessage, name: string): number | undefined {
  const value = request.headers[name];
  return value === undefined ? undefined : Number(value);
}
