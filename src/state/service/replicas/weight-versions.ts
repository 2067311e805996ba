/** Newest weight version that a trainer has named, by model. Only rises; lost with the process. */

export class WeightVersions {
  private readonly newest = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  /** Called after each rise. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Notes a named version; returns whether it is newer than the known one. */
  note(model: string, version: number): boolean {
    if (version <= (this.newest.get(model) ?? 0)) return false;
    this.newest.set(model, version);
    for (const listener of this.listeners) listener();
    return true;
  }

  /** The newest named version, 0 where there is none. */
  newestOf(model: string): number {
    return this.newest.get(model) ?? 0;
  }

  /** Models with a named version. */
  get models(): string[] {
    return [...this.newest.keys()];
  }
}
