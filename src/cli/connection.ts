/** Connection and output flags shared by commands, and the client that they configure. */
import { readFileSync } from 'node:fs';
import { oneOf, option, optional, string } from 'cmd-ts';
import { OperatorClient } from '../protocol/resource/operator-client.js';
import { HttpClient } from '../transport/http-client.js';
import { ExitCode } from './exit-codes.js';
import { type OutputFormat, printNote } from './output.js';

export const connectionFlags = {
  server: option({
    type: string,
    long: 'server',
    env: 'THYMECOVE_SERVER',
    defaultValue: () => 'http://127.0.0.1:7400',
    description: 'Base URL of any node (THYMECOVE_SERVER).',
  }),
  tokenFile: option({
    type: optional(string),
    long: 'token-file',
    env: 'THYMECOVE_TOKEN_FILE',
    description:
      'File that contains the bearer token (THYMECOVE_TOKEN_FILE). Default: the value of THYMECOVE_TOKEN.',
  }),
};

export const outputFlag = option({
  type: oneOf<OutputFormat>(['table', 'json', 'yaml']),
  long: 'output',
  short: 'o',
  defaultValue: () => 'table' as const,
  description: 'Output format: table, json or yaml.',
});

export interface ConnectionValues {
  readonly server: string;
  readonly tokenFile: string | undefined;
}

function readToken(values: ConnectionValues): string {
  if (values.tokenFile === undefined) return process.env.THYMECOVE_TOKEN ?? '';
  try {
    return readFileSync(values.tokenFile, 'utf8').trim();
  } catch (cause) {
    printNote(`error: --token-file: ${(cause as Error).message}`);
    process.exit(ExitCode.invalidInput);
  }
}

/** Runs `action` with a client; the number that it returns becomes the exit code of the process. */
export async function withOperatorClient(
  values: ConnectionValues,
  action: (client: OperatorClient) => Promise<number>,
): Promise<void> {
  const http = new HttpClient();
  const client = new OperatorClient(http, values.server.replace(/\/$/, ''), readToken(values));
  process.exitCode = await action(client);
  await http.close();
}
