package org.clementinequay.server.billing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests copying bill records to a peer and flushing the records of dead hosts. */
public final class BillReplicationTest {
  private static CompletableFuture<CopyResult> replicateRecord(FakePeers.Host host) {
    CompletableFuture<CopyResult> result = host.replicator.replicate(host.record());
    host.replicator.step();
    return result;
  }

  private static void advanceClockAndStep(FakePeers peers, Duration duration, FakePeers.Host host) {
    peers.clock.advance(duration);
    host.replicator.step();
    host.sealer.step();
    host.replicator.step();
  }

  /**
   * Guards against both copies being in one failure domain although a peer in another is linked.
   */
  @Test
  public void selectsHolderInAnotherDomainIfOneIsLinked() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host sameDomainPeer = peers.addHost("a");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    assertEquals(sameDomainPeer.copies.size(), 1);
    FakePeers.Host otherDomainPeer = peers.addHost("b");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    assertEquals(sameDomainPeer.copies.size(), 1);
    assertEquals(otherDomainPeer.copies.size(), 1);
  }

  /** Guards against a bill that lacks the records of a host that died before it sealed them. */
  @Test
  public void holderFlushesRecordsOfDeadHostAfterDelay() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host holder = peers.addHost("b");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    peers.kill(sender);
    holder.sealer.step();
    assertEquals(peers.readBill().total().count(), 0);
    peers.storeDown = true;
    advanceClockAndStep(peers, BillCopyReceiver.FLUSH_DELAY, holder);
    peers.storeDown = false;
    advanceClockAndStep(peers, Duration.ofSeconds(1), holder);
    assertEquals(peers.readBill().total().count(), 1);
    assertEquals(holder.copies.size(), 0);
  }

  /** Guards against a double charge if the owner and its holder both write the records. */
  @Test
  public void recordsWrittenByOwnerAndHolderAreBilledOnce() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host holder = peers.addHost("b");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    holder.listeners.forEach(listener -> listener.unlinked(sender.peer()));
    advanceClockAndStep(peers, BillCopyReceiver.FLUSH_DELAY, holder);
    peers.unresponsive.add(holder.id);
    advanceClockAndStep(peers, BillSealer.SEAL_INTERVAL, sender);
    assertEquals(sender.ledger.unsealedCount(), 0);
    assertEquals(peers.readBill().total().count(), 1);
    assertEquals(peers.readBill().conflictCount(), 0);
  }

  /** Guards against records that only their sender still has after their holder died. */
  @Test
  public void recordsHeldByADeadHolderAreCopiedAgain() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host first = peers.addHost("b");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    FakePeers.Host second = peers.addHost("c");
    peers.kill(first);
    sender.replicator.step();
    assertEquals(second.copies.size(), 2);
    peers.kill(sender);
    advanceClockAndStep(peers, BillCopyReceiver.FLUSH_DELAY, second);
    assertEquals(peers.readBill().total().count(), 2);
  }

  /** Guards against a request that waits for the timeout of a holder whose link is already lost. */
  @Test
  public void deadHolderIsReplacedBeforeAckTimeout() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host holder = peers.addHost("b");
    FakePeers.Host sameDomainPeer = peers.addHost("a");
    peers.unresponsive.add(holder.id);
    CompletableFuture<CopyResult> result = replicateRecord(sender);
    assertFalse(result.isDone());
    peers.kill(holder);
    sender.replicator.step();
    assertEquals(result.join(), CopyResult.COPIED);
    assertEquals(sameDomainPeer.copies.size(), 1);
  }

  /**
   * Guards against a peer without acknowledgements that delays every request, and against a request
   * that fails after its work was done because no peer acknowledges.
   */
  @Test
  public void unresponsivePeersAreAvoidedAndThenSingleCopySuffices() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host otherDomainPeer = peers.addHost("b");
    FakePeers.Host sameDomainPeer = peers.addHost("a");
    peers.unresponsive.add(otherDomainPeer.id);
    CompletableFuture<CopyResult> first = replicateRecord(sender);
    advanceClockAndStep(peers, BillReplicator.ACK_TIMEOUT, sender);
    assertEquals(first.join(), CopyResult.COPIED);
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    peers.unresponsive.add(sameDomainPeer.id);
    CompletableFuture<CopyResult> third = replicateRecord(sender);
    advanceClockAndStep(peers, BillReplicator.ACK_TIMEOUT, sender);
    advanceClockAndStep(peers, BillReplicator.ACK_TIMEOUT, sender);
    assertEquals(third.join(), CopyResult.SINGLE_COPY);
    assertEquals(sender.singleCopyCount, 1);
  }

  /** Guards against records on one host only because the only peer was too slow once. */
  @Test
  public void onlyPeerGetsCopiesAfterALateAcknowledgement() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host holder = peers.addHost("b");
    peers.unresponsive.add(holder.id);
    CompletableFuture<CopyResult> first = replicateRecord(sender);
    advanceClockAndStep(peers, BillReplicator.ACK_TIMEOUT, sender);
    assertEquals(first.join(), CopyResult.SINGLE_COPY);
    CompletableFuture<CopyResult> second = replicateRecord(sender);
    assertEquals(second.join(), CopyResult.SINGLE_COPY, "waits for a peer that is too slow");
    peers.unresponsive.clear();
    replicateRecord(sender);
    assertEquals(holder.copies.size(), 1);
    advanceClockAndStep(peers, BillReplicator.RESEND_INTERVAL, sender);
    assertEquals(holder.copies.size(), 3);
  }

  /** Guards against records that are not copied when a peer becomes linked. */
  @Test
  public void singleCopyRecordsAreCopiedWhenAPeerIsLinked() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    assertEquals(replicateRecord(sender).join(), CopyResult.SINGLE_COPY);
    FakePeers.Host holder = peers.addHost("b");
    sender.replicator.step();
    assertEquals(holder.copies.size(), 1);
  }

  /** Guards against copies that accumulate at the holder or are dropped before they are sealed. */
  @Test
  public void copiesAreDroppedWhenTheirRecordsAreSealed() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    FakePeers.Host holder = peers.addHost("b");
    assertEquals(replicateRecord(sender).join(), CopyResult.COPIED);
    peers.storeDown = true;
    advanceClockAndStep(peers, BillSealer.SEAL_INTERVAL, sender);
    assertEquals(holder.copies.size(), 1);
    peers.storeDown = false;
    advanceClockAndStep(peers, Duration.ofSeconds(1), sender);
    assertEquals(holder.copies.size(), 0);
    assertEquals(peers.readBill().total().count(), 1);
  }

  /** Guards against records that are lost in a graceful shutdown. */
  @Test
  public void closeSealsAllRecords() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.addHost("a");
    List<CompletableFuture<CopyResult>> results = new ArrayList<>();
    for (int i = 0; i < 5000; i++) {
      results.add(sender.replicator.replicate(sender.record()));
    }
    sender.replicator.start();
    sender.sealer.start();
    sender.sealer.close();
    sender.replicator.close();
    assertEquals(peers.readBill().total().count(), 5000);
    assertTrue(results.stream().allMatch(CompletableFuture::isDone));
  }
}
