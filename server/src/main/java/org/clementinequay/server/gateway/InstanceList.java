package org.clementinequay.server.gateway;

import java.util.List;
import org.clementinequay.core.forward.UpstreamInstance;

/**
 * A reading of the list of upstreams.
 *
 * @param instances the entries that could be read
 * @param revision revision of the store, which rises with every write
 */
public record InstanceList(List<UpstreamInstance> instances, long revision) {}
