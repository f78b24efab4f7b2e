package org.clementinequay.server.gateway;

import org.clementinequay.core.forward.UpstreamInstance;

/**
 * An attempt that was given up because its upstream sent nothing.
 *
 * @param upstream the upstream
 * @param route name of the route
 */
record StalledAttempt(UpstreamInstance upstream, String route) {}
