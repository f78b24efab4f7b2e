package org.clementinequay.server.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.clementinequay.core.forward.UpstreamListing;

/**
 * Messages between entry hosts. The field {@code t} carries the type name. Receivers ignore unknown
 * fields and drop messages of unknown types, so that adjacent releases are compatible.
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
  @JsonSubTypes.Type(value = PeerMessage.ShiftNews.class, name = "shift"),
  @JsonSubTypes.Type(value = PeerMessage.UpstreamReading.class, name = "upstreams"),
  @JsonSubTypes.Type(value = PeerMessage.OperatorReading.class, name = "operator"),
  @JsonSubTypes.Type(value = PeerMessage.CrashNews.class, name = "crash"),
  @JsonSubTypes.Type(value = PeerMessage.OperatorChange.class, name = "change"),
  @JsonSubTypes.Type(value = PeerMessage.EngineLoad.class, name = "load"),
  @JsonSubTypes.Type(value = PeerMessage.AccountDemand.class, name = "demand")
})
public sealed interface PeerMessage {
  /** First message on a connection, in both directions. */
  record Hello(
      int protocol, String incarnation, String host, String domain, String region, double weight)
      implements PeerMessage {}

  /**
   * Sent at a fixed interval. Carries the sender's state and acknowledges the last heartbeat that
   * the sender received. Separate acknowledgements would double the packets and wake-ups of a link.
   * Field names are short because heartbeats are most of the traffic between idle hosts.
   *
   * @param sequence number of the heartbeat on this link
   * @param answered sequence of the last heartbeat that the sender received, -1 if none
   * @param heldMicros time between receiving that heartbeat and sending this one, in microseconds;
   *     the receiver subtracts it from the round-trip time
   * @param revision the configuration revision in force at the sender, 0 if none
   * @param leaving whether the sender is shutting down
   * @param requestsInProgress number of callers' requests in progress
   * @param demand load offered to the sender relative to its weight
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

  /**
   * Acknowledges the first heartbeat on a link immediately; later ones are acknowledged by the next
   * heartbeat in the other direction.
   */
  record HeartbeatAck(@JsonProperty("a") long answered, @JsonProperty("r") long revision)
      implements PeerMessage {}

  /** Announces a configuration revision, which may not be in force at the sender yet. */
  record RevisionAnnounced(long revision, String hash) implements PeerMessage {}

  /** Requests the newest document of the receiver if its revision is at least this one. */
  record DocumentRequest(long revision) implements PeerMessage {}

  /** A configuration document; the receiver verifies the hash. */
  record DocumentReply(long revision, String hash, String text) implements PeerMessage {}

  /** Bill records as JSON lines, which the receiver keeps until they are sealed. */
  record BillCopy(long copyId, List<String> records) implements PeerMessage {}

  /** Confirms that the sender of this message keeps the records of the copy. */
  record BillCopyAck(long copyId) implements PeerMessage {}

  /** The sender's bill records up to this request sequence are in the object store. */
  record BillSealed(long upToSequence) implements PeerMessage {}

  /** A change of an upstream's state that the sender observed. */
  record UpstreamNews(String upstream, String state, long observedAtMillis)
      implements PeerMessage {}

  /** The sender stopped a version that is being rolled out, on the evidence of its own requests. */
  record VersionStopped(String modelVersion, String evidence) implements PeerMessage {}

  /** Mergeable counters of a policy, such as pass rates, as compact JSON. */
  record Counters(String kind, String json) implements PeerMessage {}

  /**
   * State of the move of a service's traffic to another version, as known to the sender, with its
   * own counts for a peer of its failure domain, or the sums of its domain for another peer.
   *
   * @param service the service
   * @param order number of the order
   * @param ageMillis time since the sender saw the order, in milliseconds
   * @param stopped why the version was stopped; empty if it was not
   * @param lastStage whether the sender sends all traffic to the version
   * @param counts counts by source and route that are new to the peer, or all counts
   * @param heldSessions hashes of the sessions that stay on the old version for now and are new to
   *     the peer, or all of them; null from a host that does not tell
   */
  record ShiftNews(
      @JsonProperty("s") String service,
      @JsonProperty("o") long order,
      @JsonProperty("a") long ageMillis,
      @JsonProperty("x") String stopped,
      @JsonProperty("l") boolean lastStage,
      @JsonProperty("c") List<ShiftCount> counts,
      @JsonProperty("h") List<Long> heldSessions)
      implements PeerMessage {}

  /**
   * Counts of one source on one route, for the target version or for all other versions together.
   *
   * @param host name of the host, or {@code domain:} and the name of the failure domain
   */
  record ShiftCount(
      @JsonProperty("h") String host,
      @JsonProperty("r") String route,
      @JsonProperty("t") boolean target,
      @JsonProperty("n") long answers,
      @JsonProperty("e") long errors,
      @JsonProperty("s") long slow) {}

  /**
   * What changed in the list of upstreams that the sender has just read from the store.
   *
   * @param storeMillis time of the read by the store's clock, in milliseconds; 0 if unknown
   */
  record UpstreamReading(
      @JsonProperty("u") UpstreamListing.Update update, @JsonProperty("m") long storeMillis)
      implements PeerMessage {}

  /**
   * The sender has just heard from the store that nothing was written by the operator after this
   * revision.
   *
   * @param storeMillis time of the read by the store's clock, in milliseconds; 0 if unknown
   * @param evacuated failure domains that are evacuated; null from a host that does not know of
   *     evacuations
   */
  record OperatorReading(
      @JsonProperty("n") long newestChange,
      @JsonProperty("m") long storeMillis,
      @JsonProperty("e") List<String> evacuated)
      implements PeerMessage {}

  /**
   * What the sender knows about upstreams that crashed under requests.
   *
   * @param crashes crashes that the sender or a host of another failure domain saw
   * @param cleared parts of prompts with which answers have begun
   * @param quarantined parts of prompts that are kept from the upstreams
   */
  record CrashNews(
      @JsonProperty("c") List<UpstreamCrash> crashes,
      @JsonProperty("k") List<PromptPartName> cleared,
      @JsonProperty("q") List<QuarantinedPart> quarantined)
      implements PeerMessage {}

  /**
   * An upstream that ended before it had begun the answer to a request.
   *
   * @param startAgeMillis time since the request was sent, in milliseconds
   * @param crashAgeMillis time since its connection ended, in milliseconds
   * @param parts ids of the parts of its prompt that other requests may share, in order
   */
  record UpstreamCrash(
      @JsonProperty("s") String service,
      @JsonProperty("u") String upstream,
      @JsonProperty("b") double startAgeMillis,
      @JsonProperty("a") double crashAgeMillis,
      @JsonProperty("p") List<String> parts) {}

  /** Name of a part of prompts. */
  record PromptPartName(@JsonProperty("s") String service, @JsonProperty("p") String id) {}

  /**
   * A part of prompts that is kept from the upstreams.
   *
   * @param remainingMillis time until this ends, in milliseconds
   */
  record QuarantinedPart(
      @JsonProperty("s") String service,
      @JsonProperty("p") String id,
      @JsonProperty("m") long remainingMillis) {}

  /**
   * A change by the operator that the sender has just read, for hosts that know all before it.
   *
   * @param after revision of the newest change before this one
   * @param reading the reading that showed the change
   * @param cursor position in the store from which later changes can be awaited
   * @param rows the changed rows, compressed
   */
  record OperatorChange(
      @JsonProperty("a") long after,
      @JsonProperty("r") OperatorReading reading,
      @JsonProperty("c") long cursor,
      @JsonProperty("z") byte[] rows)
      implements PeerMessage {}

  /**
   * Work that the sender has outstanding on engines.
   *
   * @param full whether the sender has none on the engines that are missing
   * @param engines engines whose work changed, or all that have work
   */
  record EngineLoad(@JsonProperty("f") boolean full, @JsonProperty("e") List<EngineWorkSum> engines)
      implements PeerMessage {}

  /**
   * Outstanding work on one engine.
   *
   * @param workMillis work of its runs in engine milliseconds
   * @param tokens memory of its runs, in tokens
   * @param samples token times that the sender measured since its last message
   * @param millisPerToken mean of these
   */
  record EngineWorkSum(
      @JsonProperty("u") String upstream,
      @JsonProperty("w") long workMillis,
      @JsonProperty("k") long tokens,
      @JsonProperty("n") int samples,
      @JsonProperty("m") double millisPerToken) {}

  /**
   * What client accounts demanded of the sender in the last seconds.
   *
   * @param full whether accounts that are missing had no demand
   * @param servedMillis work that engines began to answer, in engine milliseconds
   * @param contended whether the sender saw contention for the engines
   * @param accounts accounts whose demand changed, or all that had any
   */
  record AccountDemand(
      @JsonProperty("f") boolean full,
      @JsonProperty("s") double servedMillis,
      @JsonProperty("c") boolean contended,
      @JsonProperty("a") List<AccountWork> accounts)
      implements PeerMessage {}

  /**
   * Demand of one account.
   *
   * @param workMillis work of its requests in engine milliseconds
   */
  record AccountWork(
      @JsonProperty("n") String account,
      @JsonProperty("w") double workMillis,
      @JsonProperty("r") double requests) {}
}
