package org.clementinequay.core.claim;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** Table service with random failures; some commits whose answer is lost take effect only later. */
final class FaultyTable implements TableService {
  private static final double FAULT_SHARE = 0.08;
  private static final long ANSWER_DELAY_NANOS = 100_000;

  private final TableService table;
  private final Random random;
  private final Queue<List<RowWrite>> lateCommits = new ArrayDeque<>();

  FaultyTable(TableService table, long seed) {
    this.table = table;
    this.random = new Random(seed);
  }

  @Override
  public synchronized Optional<Row> read(RowKey key) throws PlatformException {
    failAtRandom();
    applyLateCommitAtRandom();
    return table.read(key);
  }

  @Override
  public synchronized List<Row> scan(String name, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    return table.scan(name, keyPrefix, afterKey, limit);
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    CommitResult result = commitNow(writes);
    if (ThreadLocalRandom.current().nextBoolean()) {
      // Makes the effect visible to other threads before the answer arrives.
      LockSupport.parkNanos(ANSWER_DELAY_NANOS);
    }
    return result;
  }

  private synchronized CommitResult commitNow(List<RowWrite> writes) throws PlatformException {
    failAtRandom();
    applyLateCommitAtRandom();
    if (random.nextDouble() < FAULT_SHARE) {
      lateCommits.add(writes);
      throw new AnswerLostException("applied late");
    }
    CommitResult result = table.commit(writes);
    if (random.nextDouble() < FAULT_SHARE) {
      throw new AnswerLostException("applied, answer lost");
    }
    return result;
  }

  private void failAtRandom() throws PlatformException {
    if (random.nextDouble() < FAULT_SHARE) {
      throw new PlatformUnavailableException("not applied");
    }
  }

  private void applyLateCommitAtRandom() throws PlatformException {
    if (!lateCommits.isEmpty() && random.nextDouble() < FAULT_SHARE) {
      table.commit(lateCommits.remove());
    }
  }
}
