/** Answers of a replica stand-in that are cut off at any byte of their head or body, by the end of their connection. */
import type { Socket } from 'node:net';
import { eventText, rawHead } from './replica-answers.js';

/**
 * How an answer says where it ends: by its length, by chunks, by its length after an interim response, or with its
 * connection.
 */
export type Framing = 'length' | 'chunked' | 'interim' | 'close';

export interface AnswerCut {
  /** Bytes that are sent. */
  readonly bytes: number;
  readonly byReset: boolean;
}

function chunked(body: string): string {
  return `transfer-encoding: chunked\r\n\r\n${chunk(body)}0\r\n\r\n`;
}

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** All bytes of an answer to the request `id`. */
export function wholeAnswer(id: string, framing: Framing, body: string): Buffer {
  const head = rawHead(id, `signed-${id}`);
  const byLength = `${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
  const answers: Readonly<Record<Framing, string>> = {
    length: byLength,
    chunked: head + chunked(body),
    interim: `HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n${byLength}`,
    close: `${head}connection: close\r\n\r\n${body}`,
  };
  return Buffer.from(answers[framing], 'utf8');
}

/** All bytes of a stream of events to the request `id`, a chunk each. */
export function wholeStream(id: string, weightVersion: string, events: number): Buffer {
  const chunks = Array.from({ length: events }, (_, index) => chunk(eventText(id, index + 1)));
  const fields = `${weightVersion}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
  return Buffer.from(`${rawHead(id, `signed-${id}`)}${fields}${chunks.join('')}0\r\n\r\n`, 'utf8');
}

/** Sends the first bytes of an answer and ends the connection. */
export function sendCut(socket: Socket, answer: Buffer, { bytes, byReset }: AnswerCut): void {
  const end = () => (byReset ? socket.resetAndDestroy() : socket.end());
  if (bytes === 0) end();
  else socket.write(answer.subarray(0, bytes), end);
}
