package org.clementinequay.server.gateway;

import java.util.List;
import org.clementinequay.core.forward.UpstreamInstance;

/**
 * The list of upstreams at a revision of the store.
 *
 * @param instances the entries that could be decoded
 * @param revision revision of the store
 * @param storeMillis time of the reading by the store's clock, in milliseconds; 0 if unknown
 */
public record InstanceReading(List<UpstreamInstance> instances, long revision, long storeMillis) {}
