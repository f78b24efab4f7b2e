package org.clementinequay.server.entry;

import org.clementinequay.core.Incarnation;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.settings.Settings;

/**
 * Dependencies that the components of an entry host share.
 *
 * @param settings settings of the host
 * @param incarnation identifies the running process
 * @param clock wall clock and monotonic clock
 * @param platform clients of the platform's services
 * @param peers network of links to the other entry hosts
 */
record HostContext(
    Settings settings,
    Incarnation incarnation,
    RuntimeClock clock,
    PlatformClients platform,
    PeerNetwork peers) {}
