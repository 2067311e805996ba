/**
 * Client and wire format for exchanging crash reports between nodes over the peer port. The caller sends the
 * reports that the store has not accepted and receives the newest of the other node. Safe to retry: known
 * reports are ignored.
 */
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import { Validator } from '../validation.js';

export const CRASH_REPORTS_PATH = '/fatal-runs';
/** Reports of maximum length stay below `MAX_MESSAGE_BYTES`. */
export const MAX_REPORTS = 500;
export const MAX_MESSAGE_BYTES = 256 * 1024;
/** For keys and values, in characters. */
const MAX_TEXT_LENGTH = 200;

/** Key and value of the stored record. */
const ReportSchema = Type.Object({
  key: Type.String({ maxLength: MAX_TEXT_LENGTH }),
  value: Type.String({ maxLength: MAX_TEXT_LENGTH }),
});
export type CrashReportMessage = Static<typeof ReportSchema>;

const ReportsSchema = Type.Array(ReportSchema, { maxItems: MAX_REPORTS });
const RequestSchema = Type.Object({ reports: ReportsSchema });
const AnswerSchema = Type.Object({
  /** Whether the store answers the other node, which then stores the caller's reports too. */
  isServed: Type.Boolean(),
  reports: ReportsSchema,
});
export type CrashReportsAnswer = Static<typeof AnswerSchema>;

const requestValidator = new Validator(RequestSchema);
const answerValidator = new Validator(AnswerSchema);

const STATUS_OK = 200;
const CALL_TIMEOUT_MS = 800;

/** Returns `undefined`, which the validators reject, for bodies that are not JSON. */
function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Returns the reports of a request; `undefined` if it is malformed. */
export function parseCrashReports(body: Buffer): readonly CrashReportMessage[] | undefined {
  return requestValidator
    .check(parseJson(body))
    .map(({ reports }) => reports)
    .unwrapOr(undefined);
}

/** Exchanges reports with the node at `address` (`IP:PORT`); `undefined` without a valid answer. */
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
