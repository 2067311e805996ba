/** The newest weight version that a trainer has named, by model. Versions only rise. */

/** Keeps the versions. */
export class WeightVersions {
  private readonly newest = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  /** Called after each rise. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Takes a named version; returns whether it is newer than what was known. */
  note(model: string, version: number): boolean {
    if (version <= (this.newest.get(model) ?? 0)) return false;
    this.newest.set(model, version);
    for (const listener of this.listeners) listener();
    return true;
  }

  /** The newest named version, 0 while none is. */
  newestOf(model: string): number {
    return this.newest.get(model) ?? 0;
  }

  /** Models with a named version. */
  get models(): string[] {
    return [...this.newest.keys()];
  }
}
