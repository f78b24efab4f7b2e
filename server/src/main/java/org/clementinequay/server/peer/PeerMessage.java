package org.clementinequay.server.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Messages between entry hosts. The type name travels in the field {@code t}; receivers ignore
 * unknown fields and drop unknown types, so that hosts of neighbouring releases can talk.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "heartbeat"),
  @JsonSubTypes.Type(value = PeerMessage.HeartbeatAck.class, name = "heartbeat_ack"),
  @JsonSubTypes.Type(value = PeerMessage.RevisionAnnounced.class, name = "revision"),
  @JsonSubTypes.Type(value = PeerMessage.DocumentRequest.class, name = "document_request"),
  @JsonSubTypes.Type(value = PeerMessage.DocumentReply.class, name = "document_reply"),
  @JsonSubTypes.Type(value = PeerMessage.BillCopy.class, name = "bill_copy"),
  @JsonSubTypes.Type(value = PeerMessage.BillCopyAck.class, name = "bill_copy_ack"),
  @JsonSubTypes.Type(value = PeerMessage.BillSealed.class, name = "bill_sealed"),
  @JsonSubTypes.Type(value = PeerMessage.UpstreamNews.class, name = "upstream_news"),
  @JsonSubTypes.Type(value = PeerMessage.VersionStopped.class, name = "version_stopped"),
  @JsonSubTypes.Type(value = PeerMessage.Counters.class, name = "counters")
})
public sealed interface PeerMessage {
  /** First message on a connection, in both directions. */
  record Hello(
      int protocol, String incarnation, String host, String domain, String region, double weight)
      implements PeerMessage {}

  /** Sent at a fixed interval; carries what every peer needs to know of the sender. */
  record Heartbeat(
      long sequence, long revision, boolean leaving, long requestsInProgress, double demand)
      implements PeerMessage {}

  /** Answer to a heartbeat; gives the sender the round-trip time. */
  record HeartbeatAck(long sequence, long revision) implements PeerMessage {}

  /** The sender knows of this configuration revision. */
  record RevisionAnnounced(long revision, String hash) implements PeerMessage {}

  /** Asks for the document in force at the receiver if it has at least this revision. */
  record DocumentRequest(long revision) implements PeerMessage {}

  /** A configuration document; the receiver checks the hash. */
  record DocumentReply(long revision, String hash, String text) implements PeerMessage {}

  /** Bill records, as JSON lines, to hold until they are sealed. */
  record BillCopy(long copyId, List<String> records) implements PeerMessage {}

  /** The receiver holds the records of the copy. */
  record BillCopyAck(long copyId) implements PeerMessage {}

  /** The sender's records up to this request sequence are in the object store. */
  record BillSealed(long upToSequence) implements PeerMessage {}

  /** An upstream changed its state, as seen by the sender. */
  record UpstreamNews(String upstream, String state, long observedAtMillis)
      implements PeerMessage {}

  /** The sender's brake stopped a version that is being rolled out. */
  record VersionStopped(String modelVersion, String evidence) implements PeerMessage {}

  /** Mergeable counters of a policy, such as pass rates, as compact JSON. */
  record Counters(String kind, String json) implements PeerMessage {}
}
