/** The stored record by which a process that holds something shows that it runs. */
import Type, { type Static } from 'typebox';
import { RecordFormat } from '../../../state/store/index.js';

const MAX_NAME_LENGTH = 200;

const HeartbeatSchema = Type.Object({
  /** Incarnation of the process: one run of it. */
  life: Type.String({ minLength: 1, maxLength: MAX_NAME_LENGTH }),
  count: Type.Optional(Type.Number()),
  /** Whether the process is draining and accepts no new jobs. */
  isLeaving: Type.Optional(Type.Boolean()),
  /** Time of the write on the store's clock, milliseconds; nodes of version 0.1.0 leave it out. */
  atMs: Type.Optional(Type.Number()),
});
export type Heartbeat = Readonly<Static<typeof HeartbeatSchema>>;

export const heartbeatFormat = new RecordFormat(HeartbeatSchema);
