package org.clementinequay.server.billing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests of the second copy of bill records and of the flush for dead hosts. */
public final class BillReplicationTest {
  private static CompletableFuture<CopyResult> bill(FakePeers.Host host) {
    CompletableFuture<CopyResult> result = host.replicator.replicate(host.record());
    host.replicator.step();
    return result;
  }

  private static void advance(FakePeers peers, Duration duration, FakePeers.Host host) {
    peers.clock.advance(duration);
    host.replicator.step();
    host.sealer.step();
    host.replicator.step();
  }

  /** Guards against both copies in one failure domain while another domain can be reached. */
  @Test
  public void holderIsInAnotherDomainIfOneIsLinked() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host neighbour = peers.host("a");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    assertEquals(neighbour.copies.size(), 1);
    FakePeers.Host far = peers.host("b");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    assertEquals(neighbour.copies.size(), 1);
    assertEquals(far.copies.size(), 1);
  }

  /** Guards against a bill without the records of a host that died before it sealed them. */
  @Test
  public void holderFlushesTheRecordsOfADeadHostAfterTheGracePeriod() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host holder = peers.host("b");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    peers.kill(sender);
    holder.sealer.step();
    assertEquals(peers.bill().total().count(), 0);
    peers.storeDown = true;
    advance(peers, BillCopyReceiver.FLUSH_DELAY, holder);
    peers.storeDown = false;
    advance(peers, Duration.ofSeconds(1), holder);
    assertEquals(peers.bill().total().count(), 1);
    assertEquals(holder.copies.size(), 0);
  }

  /** Guards against a second charge when the owner and its holder both write the records. */
  @Test
  public void ownerAndHolderMayBothWrite() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host holder = peers.host("b");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    holder.listeners.forEach(listener -> listener.unlinked(sender.peer()));
    advance(peers, BillCopyReceiver.FLUSH_DELAY, holder);
    peers.silent.add(holder.id);
    advance(peers, BillSealer.SEAL_INTERVAL, sender);
    assertEquals(sender.ledger.unsealedCount(), 0);
    assertEquals(peers.bill().total().count(), 1);
    assertEquals(peers.bill().conflictCount(), 0);
  }

  /** Guards against a record with no living copy but the sender's when its holder dies. */
  @Test
  public void recordsOfADeadHolderAreCopiedAgain() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host first = peers.host("b");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    FakePeers.Host second = peers.host("c");
    peers.kill(first);
    sender.replicator.step();
    assertEquals(second.copies.size(), 2);
    peers.kill(sender);
    advance(peers, BillCopyReceiver.FLUSH_DELAY, second);
    assertEquals(peers.bill().total().count(), 2);
  }

  /** Guards against a request that waits for a holder which died before it acknowledged. */
  @Test
  public void deadHolderIsReplacedBeforeItsTimeout() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host holder = peers.host("b");
    FakePeers.Host neighbour = peers.host("a");
    peers.silent.add(holder.id);
    CompletableFuture<CopyResult> result = bill(sender);
    assertFalse(result.isDone());
    peers.kill(holder);
    sender.replicator.step();
    assertEquals(result.join(), CopyResult.COPIED);
    assertEquals(neighbour.copies.size(), 1);
  }

  /** Guards against a silent peer that delays every request, and against a refusal after work. */
  @Test
  public void silentPeersAreAvoidedAndThenOneCopySuffices() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host far = peers.host("b");
    FakePeers.Host near = peers.host("a");
    peers.silent.add(far.id);
    CompletableFuture<CopyResult> first = bill(sender);
    advance(peers, BillReplicator.ACK_TIMEOUT, sender);
    assertEquals(first.join(), CopyResult.COPIED);
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    peers.silent.add(near.id);
    CompletableFuture<CopyResult> third = bill(sender);
    advance(peers, BillReplicator.ACK_TIMEOUT, sender);
    advance(peers, BillReplicator.ACK_TIMEOUT, sender);
    assertEquals(third.join(), CopyResult.SINGLE_COPY);
    assertEquals(sender.singles, 1);
  }

  /** Guards against records that stay without a copy after a peer is linked again. */
  @Test
  public void singleRecordsAreCopiedWhenAPeerIsLinked() {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    assertEquals(bill(sender).join(), CopyResult.SINGLE_COPY);
    FakePeers.Host holder = peers.host("b");
    sender.replicator.step();
    assertEquals(holder.copies.size(), 1);
  }

  /** Guards against copies that pile up at the holder, or are dropped before they are sealed. */
  @Test
  public void copiesAreDroppedWhenTheirRecordsAreSealed() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    FakePeers.Host holder = peers.host("b");
    assertEquals(bill(sender).join(), CopyResult.COPIED);
    peers.storeDown = true;
    advance(peers, BillSealer.SEAL_INTERVAL, sender);
    assertEquals(holder.copies.size(), 1);
    peers.storeDown = false;
    advance(peers, Duration.ofSeconds(1), sender);
    assertEquals(holder.copies.size(), 0);
    assertEquals(peers.bill().total().count(), 1);
  }

  /** Guards against records that are lost at a planned stop. */
  @Test
  public void closeSealsEverything() throws Exception {
    FakePeers peers = new FakePeers();
    FakePeers.Host sender = peers.host("a");
    List<CompletableFuture<CopyResult>> results = new ArrayList<>();
    for (int i = 0; i < 5000; i++) {
      results.add(sender.replicator.replicate(sender.record()));
    }
    sender.replicator.start();
    sender.sealer.start();
    sender.sealer.close();
    sender.replicator.close();
    assertEquals(peers.bill().total().count(), 5000);
    assertTrue(results.stream().allMatch(CompletableFuture::isDone));
  }
}
