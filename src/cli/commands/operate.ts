/** `thymecove drain` and `approve`. */
import { boolean, command, flag, option, optional, positional, string } from 'cmd-ts';
import { connectionFlags, outputFlag, withOperatorClient } from '../connection.js';
import { ExitCode } from '../exit-codes.js';
import { printNote, printResult, reportFailure } from '../output.js';

/** `thymecove drain`. */
export const drainCommand = command({
  name: 'drain',
  description: 'Stop sending new work to a backend. Work in flight there is completed.',
  examples: [
    { description: 'Drain', command: 'thymecove drain engine-3 --reason "kernel update"' },
    { description: 'Return it to service', command: 'thymecove drain engine-3 --undo' },
  ],
  args: {
    ...connectionFlags,
    backend: positional({ type: string, displayName: 'backend' }),
    reason: option({ type: optional(string), long: 'reason', description: 'Reason shown by explain.' }),
    undo: flag({ type: boolean, long: 'undo', description: 'Return the backend to service.' }),
    output: outputFlag,
  },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const spec = args.undo
        ? { draining: null, drainReason: null }
        : { draining: true, drainReason: args.reason ?? 'drained by an operator' };
      const changed = await client.patch('Backend', args.backend, { spec });
      if (changed.isErr()) return reportFailure(changed.error);
      printResult(args.output, changed.value, () => `${args.backend}: ${args.undo ? 'in use' : 'draining'}`);
      printNote(`accepted as version ${changed.value.metadata.resourceVersion}`);
      return ExitCode.ok;
    }),
});

/** `thymecove approve`. */
export const approveCommand = command({
  name: 'approve',
  description: 'Approve a model version. Requires the role approver.',
  examples: [
    { description: 'Approve', command: 'thymecove approve triage-v12 --note "reviewed phrasing set B"' },
  ],
  args: {
    ...connectionFlags,
    version: positional({ type: string, displayName: 'model version' }),
    note: option({ type: optional(string), long: 'note', description: 'Note stored with the approval.' }),
    output: outputFlag,
  },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const approved = await client.approve(args.version, args.note);
      if (approved.isErr()) return reportFailure(approved.error);
      printResult(args.output, approved.value, () => `${args.version}: approved`);
      return ExitCode.ok;
    }),
});
