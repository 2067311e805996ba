export { LoadCommander } from './load-commander.js';
