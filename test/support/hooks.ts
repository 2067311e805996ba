/** Ends what a failed test left running. */
import { configureLogging } from '../../src/common/logging.js';
import { killAllProcesses } from './processes.js';

configureLogging('silent');

export const mochaHooks = {
  afterAll(): void {
    killAllProcesses();
  },
};
