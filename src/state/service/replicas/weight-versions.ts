/** Newest weight version that a trainer has named, by model. Only rises; lost with the process. */

export class WeightVersions {
  private readonly newest = new Map<string, number>();

  /** Notes a named version; returns whether it is newer than the known one. */
  record(model: string, version: number): boolean {
    if (version <= (this.newest.get(model) ?? 0)) return false;
    this.newest.set(model, version);
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
