export {
  type RunnableTask,
  type SingletonTask,
  SingletonTasks,
  type TaskSignals,
} from './singleton-tasks.js';
