/** Newest weight version that a trainer has announced, by model. Versions only increase; kept in memory. */

export class WeightVersions {
  private readonly newest = new Map<string, number>();

  /** Records an announced version; returns whether it is newer than the known one. */
  record(model: string, version: number): boolean {
    if (version <= (this.newest.get(model) ?? 0)) return false;
    this.newest.set(model, version);
    return true;
  }

  /** Newest announced version, 0 if there is none. */
  newestOf(model: string): number {
    return this.newest.get(model) ?? 0;
  }

  /** Models with an announced version. */
  get models(): string[] {
    return [...this.newest.keys()];
  }
}
