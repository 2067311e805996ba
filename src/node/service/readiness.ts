/**
 * Rules for readiness and configuration freshness, as pure functions. Ages and durations are in milliseconds
 * on the monotonic clock.
 */
import { LONG_POLL_TIMEOUT_MS } from '../../coordination/feeds/index.js';

/**
 * After this time a node becomes ready without crash reports, since their partition may be unavailable. Long
 * enough for a first read of a store that answers, short compared with a rolling restart.
 */
const CRASH_REPORTS_TIMEOUT_MS = 2_000;
/**
 * Delay before the next long poll after changes, per node of the fleet, so that several changes arrive in one
 * response: the fleet sends at most 200 polls a second until the maximum delay is reached. Nodes that hold
 * jobs or a lease poll without delay.
 */
const POLL_DELAY_PER_NODE_MS = 5;
const MAX_POLL_DELAY_MS = 1_000;
/** Allowance for the response to a long poll, beyond the time for which the store holds it. */
const FEED_RESPONSE_MS = 500;

export interface ReadinessInput {
  readonly isDraining: boolean;
  readonly isStoreAnswering: boolean;
  readonly hasConfiguration: boolean;
  readonly knownReplicaCount: number;
  /** Infinite before the operators' feed has answered its first long poll. */
  readonly operatorFeedAgeMs: number;
  readonly hasReadCrashReports: boolean;
  /** Negative infinity before the start. */
  readonly uptimeMs: number;
}

/**
 * Whether load balancers may send requests here. A node that does not reach the store cannot serve jobs, and
 * its view of replicas and configuration becomes stale, while other nodes may still reach the store.
 */
export function isReady(input: ReadinessInput): boolean {
  const canRoute = input.hasConfiguration && input.knownReplicaCount > 0;
  const hasReadFeed = Number.isFinite(input.operatorFeedAgeMs);
  const isCrashWaitOver = input.hasReadCrashReports || input.uptimeMs > CRASH_REPORTS_TIMEOUT_MS;
  return !input.isDraining && canRoute && hasReadFeed && isCrashWaitOver && input.isStoreAnswering;
}

/** Delay between two long polls of a feed after changes. */
export function pollDelayMs(fleetSize: number): number {
  return Math.min(MAX_POLL_DELAY_MS, fleetSize * POLL_DELAY_PER_NODE_MS);
}

/** Maximum age of a healthy feed: a long poll held to its end, its response, and the delay before it. */
function expectedFeedAgeMs(fleetSize: number): number {
  return LONG_POLL_TIMEOUT_MS + FEED_RESPONSE_MS + pollDelayMs(fleetSize);
}

export interface FeedFreshnessInput {
  readonly isStoreAnswering: boolean;
  readonly feedAgeMs: number;
  readonly fleetSize: number;
}

/**
 * Whether the operators' feed has answered recently enough that an unknown change of the configuration is
 * within the configured bound. Answers of other feeds do not count.
 */
export function isConfigurationFresh(input: FeedFreshnessInput, configurationBoundMs: number): boolean {
  const boundMs = Math.max(configurationBoundMs, expectedFeedAgeMs(input.fleetSize));
  return input.isStoreAnswering && input.feedAgeMs < boundMs;
}

/** Part of the bound on work after the end of a job that is left for the way to a replica, and its maximum share. */
const JOB_END_MARGIN_MS = 800;
const MAX_JOB_END_MARGIN_FRACTION = 0.5;

/** Age of the heads of jobs beyond which a job that seems open may have ended longer ago than allowed. */
export function maxHeadAgeMs(jobEndBoundMs: number): number {
  return jobEndBoundMs - Math.min(JOB_END_MARGIN_MS, jobEndBoundMs * MAX_JOB_END_MARGIN_FRACTION);
}

/** Whether a feed is healthy: its newest answer belongs to the open long poll or the one before. */
export function isFeedCurrent({ isStoreAnswering, feedAgeMs, fleetSize }: FeedFreshnessInput): boolean {
  return isStoreAnswering && feedAgeMs < LONG_POLL_TIMEOUT_MS + expectedFeedAgeMs(fleetSize);
}
