/**
 * Reports of runs under which replicas have ended, as nodes exchange them over the port that only nodes reach: TypeBox with
 * JSON. The caller sends what the store has not taken of it, and gets what the other node knows.
 */
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import { Validator } from '../validation.js';

/** Path of the exchange. */
export const CRASH_REPORTS_PATH = '/fatal-runs';
/** Reports in one message at most. */
export const MAX_REPORTS = 500;
/** Size of a message at most, bytes. */
export const MAX_MESSAGE_BYTES = 256 * 1024;
const MAX_TEXT = 200;

/** A report as its record in the store has it: key and value. */
const ReportSchema = Type.Object({
  key: Type.String({ maxLength: MAX_TEXT }),
  value: Type.String({ maxLength: MAX_TEXT }),
});
export type CrashReportMessage = Static<typeof ReportSchema>;

const ReportsSchema = Type.Array(ReportSchema, { maxItems: MAX_REPORTS });
const RequestSchema = Type.Object({ reports: ReportsSchema });
const AnswerSchema = Type.Object({
  /** Whether the store serves the other node, so that it passes on what it was told. */
  isServed: Type.Boolean(),
  reports: ReportsSchema,
});
export type CrashReportsAnswer = Static<typeof AnswerSchema>;

const requestValidator = new Validator(RequestSchema);
const answer = new Validator(AnswerSchema);

const STATUS_OK = 200;
const CALL_TIMEOUT_MS = 800;

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** The reports in a question; `undefined` when it is none. */
export function parseCrashReports(body: Buffer): readonly CrashReportMessage[] | undefined {
  return requestValidator
    .check(parseJson(body))
    .map(({ reports }) => reports)
    .unwrapOr(undefined);
}

/** Exchanges reports with the node at `address` (`IP:PORT`); `undefined` when it does not answer. */
export async function exchangeCrashReports(
  http: HttpClient,
  address: string,
  reports: readonly CrashReportMessage[],
): Promise<CrashReportsAnswer | undefined> {
  const response = await http.exchange(
    {
      method: 'POST',
      url: `http://${address}${CRASH_REPORTS_PATH}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ reports }),
      totalTimeoutMs: CALL_TIMEOUT_MS,
    },
    MAX_MESSAGE_BYTES,
  );
  if (response.isErr() || response.value.status !== STATUS_OK) return undefined;
  return answer.check(parseJson(response.value.body)).unwrapOr(undefined);
}
