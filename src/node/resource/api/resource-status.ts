/** Status of resources: conditions as the responding node sees them; other nodes may differ. */
import {
  isApproved,
  isAssigned,
  shouldDrain,
  targetVersion,
} from '../../../coordination/resource/weights/index.js';
import type { Condition, Resource, ResourceOf, ResourceStatus } from '../../../protocol/resource/resource.js';
import type { BackendRegistry } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';

function condition(type: string, isTrue: boolean, reason: string, message: string): Condition {
  return { type, status: isTrue ? 'True' : 'False', reason, message };
}

function references(view: ConfigView, kind: 'Service' | 'Model', names: readonly string[]): Condition {
  const missing = names.filter((name) => view.get(kind, name) === undefined);
  const message =
    missing.length === 0 ? 'every reference is declared' : `not declared: ${missing.join(', ')}`;
  return condition(
    'ReferencesResolved',
    missing.length === 0,
    missing.length === 0 ? 'Declared' : 'Missing',
    message,
  );
}

function backendConditions(
  view: ConfigView,
  registry: BackendRegistry,
  backend: ResourceOf<'Backend'>,
): Condition[] {
  const entry = registry.get(backend.metadata.name);
  const health = entry?.lifecycle.current ?? 'unproven';
  const drains = shouldDrain(view, backend);
  const reason = backend.spec.draining ? (backend.spec.drainReason ?? 'declared') : 'machine is leaving';
  return [
    references(view, 'Service', [backend.spec.service]),
    condition(
      'Healthy',
      health === 'serving' || health === 'unproven',
      health,
      `as this node sees it: ${health}`,
    ),
    condition('Draining', drains, drains ? 'Draining' : 'InUse', drains ? reason : 'it may take new work'),
  ];
}

function modelConditions(
  view: ConfigView,
  registry: BackendRegistry,
  model: ResourceOf<'Model'>,
): Condition[] {
  const target = targetVersion(view, model)?.spec.version;
  const engines = registry
    .ofService(model.spec.service)
    .filter((engine) => isAssigned(engine, model.metadata.name));
  const behind = engines.filter((engine) => engine.version !== target).map((engine) => engine.name);
  const message =
    target === undefined
      ? 'no version may be served'
      : `version ${target}; behind: ${behind.join(', ') || 'none'}`;
  const isDone = target !== undefined && behind.length === 0;
  return [
    references(view, 'Service', [model.spec.service]),
    condition('VersionLoaded', isDone, isDone ? 'Loaded' : 'InProgress', message),
  ];
}

function versionConditions(view: ConfigView, version: ResourceOf<'ModelVersion'>): Condition[] {
  const model = view.get('Model', version.spec.model);
  const approved = model !== undefined && isApproved(model, version);
  const reason = approved ? 'Approved' : 'ApprovalMissing';
  const message = approved ? 'it may be served' : 'it may not be served yet';
  return [references(view, 'Model', [version.spec.model]), condition('Servable', approved, reason, message)];
}

function conditionsOf(view: ConfigView, registry: BackendRegistry, resource: Resource): Condition[] {
  switch (resource.kind) {
    case 'Backend':
      return backendConditions(view, registry, resource);
    case 'Model':
      return modelConditions(view, registry, resource);
    case 'ModelVersion':
      return versionConditions(view, resource);
    case 'Trainer':
      return [references(view, 'Model', resource.spec.models)];
    default:
      return [condition('InForce', true, 'Accepted', 'in force on this node')];
  }
}

/** The status of a resource that is in force on this node. */
export function statusOf(view: ConfigView, registry: BackendRegistry, resource: Resource): ResourceStatus {
  return {
    observedGeneration: resource.metadata.generation,
    conditions: conditionsOf(view, registry, resource),
  };
}
