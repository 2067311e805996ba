/** Selects the weight versions of a model: the newest published one and the target version to load. */
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';

type ModelVersions = ReadonlyMap<string, readonly ResourceOf<'ModelVersion'>[]>;

interface VersionIndex {
  readonly revision: number;
  readonly byModel: ModelVersions;
}

const indices = new WeakMap<ConfigView, VersionIndex>();

/** The versions of a model, newest first; cached per configuration revision. */
function versionsOf(view: ConfigView, model: string): readonly ResourceOf<'ModelVersion'>[] {
  let index = indices.get(view);
  if (index?.revision !== view.revision) {
    index = { revision: view.revision, byModel: groupByModel(view.list('ModelVersion')) };
    indices.set(view, index);
  }
  return index.byModel.get(model) ?? [];
}

function groupByModel(versions: readonly ResourceOf<'ModelVersion'>[]): ModelVersions {
  const groups = new Map<string, ResourceOf<'ModelVersion'>[]>();
  for (const version of [...versions].sort((a, b) => b.spec.version - a.spec.version)) {
    const group = groups.get(version.spec.model) ?? [];
    group.push(version);
    groups.set(version.spec.model, group);
  }
  return groups;
}

/** The newest published version, approved or not; 0 if there is none. */
export function newestPublished(view: ConfigView, model: string): number {
  return versionsOf(view, model)[0]?.spec.version ?? 0;
}

export function isApproved(model: ResourceOf<'Model'>, version: ResourceOf<'ModelVersion'>): boolean {
  return !model.spec.requireApproval || (version.spec.approvals?.length ?? 0) > 0;
}

/** The version to load: the pinned one if set, otherwise the newest; only if it is approved. */
export function targetVersion(
  view: ConfigView,
  model: ResourceOf<'Model'>,
): ResourceOf<'ModelVersion'> | undefined {
  const { pinnedVersion } = model.spec;
  return versionsOf(view, model.metadata.name).find(
    (one) => isApproved(model, one) && (pinnedVersion === undefined || one.spec.version === pinnedVersion),
  );
}
