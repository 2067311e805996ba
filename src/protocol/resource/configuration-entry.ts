/** One accepted revision of the configuration, as the store keeps it and as watchers see it. */
import Type, { type Static } from 'typebox';

const ConfigChangeSchema = Type.Object({
  kind: Type.String(),
  name: Type.String(),
  /** The new resource, or null when it was deleted. */
  resource: Type.Unknown(),
});

/** Source: the row `config/log/{revision}`. */
export const ConfigEntrySchema = Type.Object({
  revision: Type.Integer(),
  operationId: Type.String(),
  changes: Type.Array(ConfigChangeSchema),
});
export type ConfigEntry = Static<typeof ConfigEntrySchema>;
