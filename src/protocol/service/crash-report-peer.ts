/**
 * Exchange of crash reports between nodes over the peer port, as JSON. The caller sends the reports that the
 * store has not accepted, and gets the newest that the other node knows. A retry is safe: known reports are
 * ignored.
 */
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import { Validator } from '../validation.js';

/** Path of the exchange, a wire name. */
export const CRASH_REPORTS_PATH = '/fatal-runs';
/** Most reports in a message. Chosen, not measured: the longest texts stay below `MAX_MESSAGE_BYTES`. */
export const MAX_REPORTS = 500;
/** Largest message, bytes. */
export const MAX_MESSAGE_BYTES = 256 * 1024;
/** Longest key and value, characters. Chosen, not measured. */
const MAX_TEXT_LENGTH = 200;

/** A report as stored: key and value of its record. */
const ReportSchema = Type.Object({
  key: Type.String({ maxLength: MAX_TEXT_LENGTH }),
  value: Type.String({ maxLength: MAX_TEXT_LENGTH }),
});
export type CrashReportMessage = Static<typeof ReportSchema>;

const ReportsSchema = Type.Array(ReportSchema, { maxItems: MAX_REPORTS });
const RequestSchema = Type.Object({ reports: ReportsSchema });
const AnswerSchema = Type.Object({
  /** Whether the store serves the other node, which then writes the reports for all. A wire name. */
  isServed: Type.Boolean(),
  reports: ReportsSchema,
});
export type CrashReportsAnswer = Static<typeof AnswerSchema>;

const requestValidator = new Validator(RequestSchema);
const answerValidator = new Validator(AnswerSchema);

const STATUS_OK = 200;
/** Time-out of the exchange, milliseconds. Chosen, not measured. */
const CALL_TIMEOUT_MS = 800;

/** The parsed body; `undefined` when it is no JSON, which the validators reject. */
function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** The reports of a request; `undefined` when it is malformed. */
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
  return answerValidator.check(parseJson(response.value.body)).unwrapOr(undefined);
}
