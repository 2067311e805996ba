/**
 * The faults of a soak by name. Their order is part of a seed: a seed draws the same faults only as long as
 * none is moved. Faults of the store, the configuration and the usage interface stand here, others beside.
 */
import { TABLE } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import {
  anyNode,
  cutFromStore,
  killAll,
  killOne,
  pauseOne,
  rejectedByStore,
  rollNodes,
  stopOne,
} from './node-faults.js';
import { callerKilled, frozenBesideStops, lateCalls } from './peer-faults.js';
import {
  applicationRestarted,
  counted,
  crashEngine,
  crowd,
  drainEngine,
  endless,
  engineRestarted,
  engineRestartedWhileDraining,
  engineRestartedWhileLoading,
  fatalRequest,
  lateLoadCommands,
  malformedRecords,
  silentEngine,
  slowed,
  unevenApplications,
} from './replica-faults.js';
import { type Fault, lasting, type Stage } from './stage.js';

/** Factors by which a slow engine takes longer for an event, and for a load. */
const SLOW_WORK = 8;
const SLOW_LOAD = 30;
/**
 * Times of slow answers of the store and of the usage interface, and largest age of old reads, milliseconds.
 */
const SLOW_STORE_MS = 200;
const SLOW_USAGE_MS = 600;
const LONGEST_BEHIND_MS = 6_000;
/** Configuration changes per second of a series. */
const CHANGES_PER_SECOND = 12;
const MS_PER_SECOND = 1_000;

const storeIn = (mode: 'silent' | 'busy' | 'reset'): Fault =>
  lasting(({ system }) => {
    system.store.mode = mode;
    return () => {
      system.store.mode = 'answering';
    };
  });

const slowStore = lasting(({ system, storeAnswerMs }) => {
  system.store.delayMs = SLOW_STORE_MS;
  return () => {
    system.store.delayMs = storeAnswerMs;
  };
});

async function lateTransactions({ system, random }: Stage, forMs: number): Promise<void> {
  system.store.lateMs = forMs;
  system.store.transactionsToDelay = 1 + random.integer(3);
  await sleep(forMs);
}

async function lostHistory({ system, configurations }: Stage): Promise<void> {
  configurations.change();
  system.store.rows.forgetHistory();
}

/** The history is lost right after a change, and reads of ranges are old for a while. */
async function oldReads(stage: Stage, forMs: number): Promise<void> {
  const { system, configurations, random } = stage;
  system.store.readsBehindMs = 1 + random.integer(LONGEST_BEHIND_MS);
  await lostHistory(stage);
  await sleep(forMs);
  configurations.change();
  await sleep(forMs);
  system.store.readsBehindMs = 0;
}

const silentOperatorTable = lasting(({ system, configurations }) => {
  system.store.silentTable = TABLE.operator;
  configurations.change();
  return () => {
    system.store.silentTable = undefined;
  };
});

async function reloadAll({ nodes, configurations }: Stage): Promise<void> {
  for (const { child } of nodes.values()) child.kill('SIGHUP');
  configurations.change();
}

async function changeConfigurationOften({ configurations }: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  while (monotonicMs() < endsAtMs) {
    configurations.change();
    await sleep(MS_PER_SECOND / CHANGES_PER_SECOND);
  }
}

const scoringRouteMissing = lasting(({ configurations }) => {
  configurations.setScoringRoute(false);
  return () => configurations.setScoringRoute(true);
});

const slowUsage = lasting(({ system }) => {
  system.usage.delayMs = SLOW_USAGE_MS;
  return () => {
    system.usage.delayMs = 0;
  };
});

const silentUsage = lasting(({ system }) => {
  system.usage.mode = 'silent';
  return () => {
    system.usage.mode = 'answering';
  };
});

/** All faults, by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  'node-kill': killOne,
  'node-kill-all': killAll,
  'node-stop': stopOne,
  'node-roll': rollNodes,
  'node-freeze': pauseOne,
  'node-cut': cutFromStore('cut'),
  'node-cut-silent': cutFromStore('freeze'),
  'node-answers-dropped': cutFromStore('drop-answers'),
  'node-hang-up': async (stage) => void anyNode(stage).child.kill('SIGHUP'),
  'node-hang-up-all': reloadAll,
  'nodes-turned-away': rejectedByStore,
  'store-silent': storeIn('silent'),
  'store-busy': storeIn('busy'),
  'store-reset': storeIn('reset'),
  'store-slow': slowStore,
  'store-answers-lost': async ({ system, random }) => {
    system.store.answersToLose = 1 + random.integer(5);
  },
  'store-transactions-late': lateTransactions,
  'store-history-forgotten': lostHistory,
  'store-reads-old': oldReads,
  'store-operator-table-silent': silentOperatorTable,
  'engine-crash': crashEngine,
  'engine-drain': drainEngine,
  'engine-restart': engineRestarted,
  'engine-restart-loading': engineRestartedWhileLoading,
  'engine-restart-draining': engineRestartedWhileDraining,
  'application-restart': applicationRestarted,
  'records-strange': malformedRecords,
  'engine-silent': silentEngine,
  'engine-slow': slowed('workMs', SLOW_WORK),
  'engine-loads-slow': slowed('loadMs', SLOW_LOAD),
  'engine-streams-broken': counted('engines', 'streamsToBreak', 3),
  'engine-streams-unframed': counted('engines', 'unframedStreams', 3),
  'application-surplus-answers': counted('applications', 'surplusAnswers', 2),
  'application-unframed-answers': counted('applications', 'unframedCuts', 2),
  'application-fatal-request': fatalRequest,
  'applications-uneven': unevenApplications,
  'callers-crowd': crowd,
  'orders-late': lateLoadCommands,
  'configuration-change': async ({ configurations }) => configurations.change(),
  'configuration-changes-often': changeConfigurationOften,
  'configuration-large': async ({ configurations }) => configurations.change(true),
  'usage-slow': slowUsage,
  'usage-silent': silentUsage,
  'usage-answers-lost': async ({ system }) => {
    system.usage.answersToLose = 2;
  },
  'peer-calls-late': lateCalls,
  'peer-caller-killed': callerKilled,
  'peer-frozen-beside-stops': frozenBesideStops,
  'engine-endless': endless('engines'),
  'application-endless': endless('applications'),
  'scoring-route-missing': scoringRouteMissing,
};

/** Faults that end or pause node processes: one at a time, so that a process is not ended twice. */
export const ON_NODES = new Set([
  'node-kill',
  'node-kill-all',
  'node-stop',
  'node-roll',
  'node-freeze',
  'peer-caller-killed',
  'peer-frozen-beside-stops',
]);
