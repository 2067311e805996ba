/** Which version of a model is the newest, and which one is to be loaded. */
import type { ResourceOf } from '../protocol/resource.js';
import type { ConfigView } from '../state/config-view.js';

/** The newest published version of a model, approved or not; 0 when there is none. */
export function newestPublished(view: ConfigView, model: string): number {
  const versions = view.list('ModelVersion').filter((one) => one.spec.model === model);
  return Math.max(0, ...versions.map((one) => one.spec.version));
}

/** Whether a version may be served. */
export function isApproved(model: ResourceOf<'Model'>, version: ResourceOf<'ModelVersion'>): boolean {
  return !model.spec.requireApproval || (version.spec.approvals?.length ?? 0) > 0;
}

/** The version to load: the pinned one, or else the newest; in both cases only when it may be served. */
export function targetVersion(
  view: ConfigView,
  model: ResourceOf<'Model'>,
): ResourceOf<'ModelVersion'> | undefined {
  const { pinnedVersion } = model.spec;
  const allowed = view
    .list('ModelVersion')
    .filter((one) => one.spec.model === model.metadata.name && isApproved(model, one))
    .filter((one) => pinnedVersion === undefined || one.spec.version === pinnedVersion);
  return allowed.sort((a, b) => b.spec.version - a.spec.version)[0];
}
