/** Declarations of the emulator's system: one model service, one application service, one trainer. */
import { API_VERSION } from '../src/protocol/resource/resource.js';

export const EMULATOR_TRAINER = 'demo-trainer';
export const EMULATOR_MODEL = 'demo-model';
export const EMULATOR_MODEL_SERVICE = 'demo-llm';
export const EMULATOR_APPLICATION = 'demo-app';

/** A declared resource. */
function manifest(kind: string, name: string, spec: object): object {
  return { apiVersion: API_VERSION, kind, metadata: { name }, spec };
}

/** A back end of the emulator. */
export interface EmulatedBackend {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
}

/** What differs from system to system. */
export interface DeclarationOptions {
  readonly stalenessBound: number;
  readonly batchSize: number;
  readonly backends: readonly EmulatedBackend[];
  /** Further fields of specs, by `Kind/name`. */
  readonly specs?: Readonly<Record<string, object>>;
}

/** All declarations of a system. The engines hold version 1 from the start. */
export function emulatorDeclarations(options: DeclarationOptions): object[] {
  const declare = (kind: string, name: string, spec: object) =>
    manifest(kind, name, { ...spec, ...options.specs?.[`${kind}/${name}`] });
  const weights = { object: `${EMULATOR_MODEL}/1` };
  const { stalenessBound, batchSize } = options;
  return [
    declare('Service', EMULATOR_MODEL_SERVICE, { type: 'model', repeatable: true }),
    declare('Service', EMULATOR_APPLICATION, { type: 'application', repeatable: false }),
    declare('Model', EMULATOR_MODEL, { service: EMULATOR_MODEL_SERVICE }),
    declare('ModelVersion', `${EMULATOR_MODEL}-v1`, { model: EMULATOR_MODEL, version: 1, weights }),
    declare('Trainer', EMULATOR_TRAINER, { models: [EMULATOR_MODEL], stalenessBound, batchSize }),
    ...options.backends.map(({ name, service, address, zone }) =>
      declare('Backend', name, { service, address, zone, machine: `m-${name}` }),
    ),
  ];
}
