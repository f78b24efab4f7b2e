package org.clementinequay.server.entry;

import org.clementinequay.core.Incarnation;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.settings.Settings;

/**
 * What the parts of an entry host share.
 *
 * @param settings settings of the host
 * @param incarnation this run of the process
 * @param clock the clock of the runtime
 * @param platform clients of the platform's services
 * @param peers links to the other entry hosts
 */
record HostContext(
    Settings settings,
    Incarnation incarnation,
    RuntimeClock clock,
    PlatformClients platform,
    PeerNetwork peers) {}
