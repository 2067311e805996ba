export { type AnnouncementFormat, OperatorAnnouncements } from './announcements.js';
export { FleetDirectory } from './fleet-directory.js';
export { PeerAddresses } from './peer-addresses.js';
export { PeerConfiguration } from './peer-configuration.js';
export { ReplicaAnnouncements } from './replica-announcements.js';
export { SESSION_TABLE, SessionMonitor, type SessionRoles } from './session-monitor.js';
