/**
 * Rules of readiness and of configuration freshness: pure functions of what the node observes. Ages and
 * durations are in milliseconds on the monotonic clock.
 */
import { LONG_POLL_TIMEOUT_MS } from '../../coordination/feeds/index.js';

/**
 * Time after start from which a node may be ready without having read the crash reports, since their part of
 * the store may be down. Chosen, not measured: long enough for a first read of a store that answers, short
 * beside a rolling restart.
 */
const CRASH_REPORTS_TIMEOUT_MS = 2_000;
/**
 * Pause before the next long poll of a node that holds neither jobs nor a lease, per node of the fleet, so
 * that several changes arrive in one answer: at most 200 polls a second of the whole fleet during changes,
 * until the longest pause is reached. Both chosen, not measured.
 */
const POLL_DELAY_PER_NODE_MS = 5;
const MAX_POLL_DELAY_MS = 1_000;
/** Time of a long poll's answer beyond the time for which it is held. Chosen, not measured. */
const FEED_RESPONSE_MS = 500;

/** Inputs of readiness. */
export interface ReadinessInput {
  readonly isDraining: boolean;
  readonly isStoreAnswering: boolean;
  readonly hasConfiguration: boolean;
  readonly knownReplicaCount: number;
  /** Infinite before the first answer about changes of the operators' table. */
  readonly operatorFeedAgeMs: number;
  readonly hasReadCrashReports: boolean;
  /** Negative infinity before the start. */
  readonly uptimeMs: number;
}

/**
 * Whether new callers may be sent here. Without the store a node can serve no jobs, and its view of replicas
 * and configuration grows old, while other nodes may still reach the store.
 */
export function isReady(input: ReadinessInput): boolean {
  const canRoute = input.hasConfiguration && input.knownReplicaCount > 0;
  const hasReadFeed = Number.isFinite(input.operatorFeedAgeMs);
  const isCrashWaitOver = input.hasReadCrashReports || input.uptimeMs > CRASH_REPORTS_TIMEOUT_MS;
  return !input.isDraining && canRoute && hasReadFeed && isCrashWaitOver && input.isStoreAnswering;
}

/** Pause between two long polls of a feed after changes. */
export function pollDelayMs(fleetSize: number): number {
  return Math.min(MAX_POLL_DELAY_MS, fleetSize * POLL_DELAY_PER_NODE_MS);
}

/** Age that a feed reaches normally: a long poll held to its end, its answer, the pause before it. */
function expectedFeedAgeMs(fleetSize: number): number {
  return LONG_POLL_TIMEOUT_MS + FEED_RESPONSE_MS + pollDelayMs(fleetSize);
}

/** Inputs of a feed's freshness. */
export interface FeedFreshnessInput {
  readonly isStoreAnswering: boolean;
  readonly feedAgeMs: number;
  readonly fleetSize: number;
}

/**
 * Whether the store has reported changes of the configuration so recently that one unknown here is within the
 * operator's bound. Only the feed of the operators' table counts: answers about other tables prove nothing
 * about it.
 */
export function isConfigurationFresh(input: FeedFreshnessInput, configurationBoundMs: number): boolean {
  const boundMs = Math.max(configurationBoundMs, expectedFeedAgeMs(input.fleetSize));
  return input.isStoreAnswering && input.feedAgeMs < boundMs;
}

/** Whether a feed runs normally: its newest answer belongs to the open long poll or the one before. */
export function isFeedCurrent({ isStoreAnswering, feedAgeMs, fleetSize }: FeedFreshnessInput): boolean {
  return isStoreAnswering && feedAgeMs < LONG_POLL_TIMEOUT_MS + expectedFeedAgeMs(fleetSize);
}
