export { ConfigFollower } from './config-follower.js';
