/** A committed revision of the configuration, as stored and as sent to watches. */
import Type, { type Static } from 'typebox';

const ConfigChangeSchema = Type.Object({
  kind: Type.String(),
  name: Type.String(),
  /** New resource; null after a deletion. */
  resource: Type.Unknown(),
});

/** Value of the row `config/log/{revision}`. */
export const ConfigEntrySchema = Type.Object({
  revision: Type.Integer(),
  operationId: Type.String(),
  changes: Type.Array(ConfigChangeSchema),
});
export type ConfigEntry = Static<typeof ConfigEntrySchema>;
