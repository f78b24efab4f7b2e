package org.clementinequay.server.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
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
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = PeerMessage.HeartbeatAck.class, name = "ha"),
  @JsonSubTypes.Type(value = PeerMessage.RevisionAnnounced.class, name = "revision"),
  @JsonSubTypes.Type(value = PeerMessage.DocumentRequest.class, name = "document_request"),
  @JsonSubTypes.Type(value = PeerMessage.DocumentReply.class, name = "document_reply"),
  @JsonSubTypes.Type(value = PeerMessage.BillCopy.class, name = "bill_copy"),
  @JsonSubTypes.Type(value = PeerMessage.BillCopyAck.class, name = "bill_copy_ack"),
  @JsonSubTypes.Type(value = PeerMessage.BillSealed.class, name = "bill_sealed"),
  @JsonSubTypes.Type(value = PeerMessage.UpstreamNews.class, name = "upstream_news"),
  @JsonSubTypes.Type(value = PeerMessage.VersionStopped.class, name = "version_stopped"),
  @JsonSubTypes.Type(value = PeerMessage.Counters.class, name = "counters"),
  @JsonSubTypes.Type(value = PeerMessage.ShiftNews.class, name = "shift")
})
public sealed interface PeerMessage {
  /** First message on a connection, in both directions. */
  record Hello(
      int protocol, String incarnation, String host, String domain, String region, double weight)
      implements PeerMessage {}

  /**
   * Sent at a fixed interval; carries what every peer needs to know of the sender, and answers the
   * last heartbeat of the receiver. A separate answer to each would double the packets and wake-ups
   * of a link. Names are short because heartbeats are most of the traffic between idle hosts.
   *
   * @param sequence number of the heartbeat on this link
   * @param answered sequence of the last heartbeat that the sender received, -1 if none
   * @param heldMicros time from receiving that one until this one was sent, in microseconds
   * @param revision the configuration revision in force at the sender, 0 if none
   * @param leaving whether the sender is shutting down
   * @param requestsInProgress number of callers' requests in progress
   * @param demand load offered to the sender relative to its size
   */
  record Heartbeat(
      @JsonProperty("s") long sequence,
      @JsonProperty("a") long answered,
      @JsonProperty("h") long heldMicros,
      @JsonProperty("r") long revision,
      @JsonProperty("l") boolean leaving,
      @JsonProperty("q") long requestsInProgress,
      @JsonProperty("d") double demand)
      implements PeerMessage {}

  /** Immediate answer to a heartbeat, sent until the link is up; later ones are answered by one. */
  record HeartbeatAck(@JsonProperty("a") long answered, @JsonProperty("r") long revision)
      implements PeerMessage {}

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

  /**
   * What the sender knows of the move of a service's traffic to another version, its own answers
   * and those that other hosts told it, because not all hosts are linked.
   *
   * @param service the service
   * @param order number of the order
   * @param ageMillis how long ago the sender saw the order
   * @param stopped why the version was stopped; empty if it was not
   * @param counts answers by host and route
   */
  record ShiftNews(
      @JsonProperty("s") String service,
      @JsonProperty("o") long order,
      @JsonProperty("a") long ageMillis,
      @JsonProperty("x") String stopped,
      @JsonProperty("c") List<ShiftCount> counts)
      implements PeerMessage {}

  /** Answers of one host on one route, by the new version or by all others. */
  record ShiftCount(
      @JsonProperty("h") String host,
      @JsonProperty("r") String route,
      @JsonProperty("t") boolean target,
      @JsonProperty("n") long answers,
      @JsonProperty("e") long errors,
      @JsonProperty("s") long slow) {}
}
