/** What a faulty replica sends without end: in place of an answer, within one, or after a whole one. */
import type { Socket } from 'node:net';
import { sleep } from '../../src/common/clock.js';
import { eventText, rawHead } from './replica-answers.js';

/** Least size of a write, bytes. */
const WRITE_BYTES = 16 * 1024;

/** Bytes that begin an answer and those that follow without end, by the number of the repetition. */
interface EndlessAnswer {
  readonly start: string;
  readonly repeat: (number: number) => string;
}

const LETTERS = 'x'.repeat(1_024);

/** All kinds, by name, for the answer to a request. */
const ANSWERS = {
  'line breaks before the head': () => ({ start: '\r\n', repeat: () => '\r\n' }),
  'status line': () => ({ start: 'HTTP/1.1 200 ', repeat: () => LETTERS }),
  'header lines': (id) => ({ start: headOf(id), repeat: (number) => `x-${number}: x\r\n` }),
  'header value': (id) => ({ start: `${headOf(id)}x-long: `, repeat: () => LETTERS }),
  'spaces before a header value': (id) => ({ start: `${headOf(id)}x-long:`, repeat: () => ' ' }),
  'interim responses': () => ({ start: '', repeat: () => 'HTTP/1.1 102 Processing\r\n\r\n' }),
  'body without a length': (id) => ({
    start: `${headOf(id)}connection: close\r\n\r\n`,
    repeat: () => LETTERS,
  }),
  'chunked body': (id) => ({ start: chunkedHeadOf(id), repeat: () => chunk(LETTERS) }),
  'chunks of one byte': (id) => ({ start: chunkedHeadOf(id), repeat: () => chunk('x') }),
  'chunk extension': (id) => ({ start: `${chunkedHeadOf(id)}5;name=`, repeat: () => LETTERS }),
  trailers: (id) => ({
    start: `${chunkedHeadOf(id)}${chunk('whole')}0\r\n`,
    repeat: (number) => `x-${number}: x\r\n`,
  }),
  comments: (id) => ({ start: streamHeadOf(id), repeat: () => chunk(':\n') }),
  'event that never ends': (id) => ({ start: streamHeadOf(id), repeat: () => chunk(`data: ${LETTERS}\n`) }),
  'line that never ends': (id) => ({
    start: `${streamHeadOf(id)}${chunk('id: 1\ndata: ')}`,
    repeat: () => chunk('x'),
  }),
  events: (id) => ({ start: streamHeadOf(id), repeat: (number) => chunk(eventText(id, number + 1)) }),
  'line breaks after the answer': (id) => ({ start: wholeAnswerOf(id), repeat: () => '\r\n' }),
  'letters after the answer': (id) => ({ start: wholeAnswerOf(id), repeat: () => LETTERS }),
} satisfies Record<string, (id: string) => EndlessAnswer>;

export type EndlessKind = keyof typeof ANSWERS;

/** Kinds that are no answer, nor the events of one. */
export const ENDLESS_FAILURES = (Object.keys(ANSWERS) as EndlessKind[]).filter(
  (kind) => kind !== 'events' && !kind.endsWith('after the answer'),
);

function headOf(id: string): string {
  return rawHead(id, `signed-${id}`);
}

function chunkedHeadOf(id: string): string {
  return `${headOf(id)}transfer-encoding: chunked\r\n\r\n`;
}

function streamHeadOf(id: string): string {
  return `${headOf(id)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
}

function wholeAnswerOf(id: string): string {
  return `${headOf(id)}content-length: 5\r\n\r\nwhole`;
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** How bytes without end are sent. */
export interface EndlessOptions {
  /** Time between two repetitions, milliseconds; 0: as fast as the other side reads. */
  readonly paceMs: number;
  /** Bytes that are sent as fast as the other side reads, before any pace. */
  readonly burstBytes?: number;
  /** Called with the size of each write. */
  readonly onSent: (bytes: number) => void;
}

/** Sends an answer without end until the other side closes. */
export async function sendEndlessly(
  socket: Socket,
  kind: EndlessKind,
  id: string,
  { paceMs, burstBytes = 0, onSent }: EndlessOptions,
): Promise<void> {
  const { start, repeat }: EndlessAnswer = ANSWERS[kind](id);
  socket.on('error', () => {});
  socket.write(start);
  let sentBytes = 0;
  for (let number = 0; !socket.destroyed; ) {
    const isFast = paceMs === 0 || sentBytes < burstBytes;
    let text = repeat(number++);
    while (isFast && text.length < WRITE_BYTES) text += repeat(number++);
    const isFlushed = socket.write(text);
    sentBytes += text.length;
    onSent(text.length);
    if (!isFast) await sleep(paceMs);
    else if (!isFlushed) await untilDrained(socket);
  }
}

function untilDrained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      socket.off('drain', done).off('close', done);
      resolve();
    };
    socket.once('drain', done).once('close', done);
  });
}
