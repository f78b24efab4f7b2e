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

/** Fails calls at random; some commits whose answer is lost take effect only later. */
final class FaultyTable implements TableService {
  private static final double FAULT_SHARE = 0.08;
  private static final long ANSWER_DELAY_NANOS = 100_000;

  private final TableService table;
  private final Random random;
  private final Queue<List<RowWrite>> late = new ArrayDeque<>();

  FaultyTable(TableService table, long seed) {
    this.table = table;
    this.random = new Random(seed);
  }

  @Override
  public synchronized Optional<Row> read(RowKey key) throws PlatformException {
    maybeFail();
    applyLate();
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
      // Lets other threads see the effect before the answer arrives.
      LockSupport.parkNanos(ANSWER_DELAY_NANOS);
    }
    return result;
  }

  private synchronized CommitResult commitNow(List<RowWrite> writes) throws PlatformException {
    maybeFail();
    applyLate();
    if (random.nextDouble() < FAULT_SHARE) {
      late.add(writes);
      throw new AnswerLostException("applied late");
    }
    CommitResult result = table.commit(writes);
    if (random.nextDouble() < FAULT_SHARE) {
      throw new AnswerLostException("applied, answer lost");
    }
    return result;
  }

  private void maybeFail() throws PlatformException {
    if (random.nextDouble() < FAULT_SHARE) {
      throw new PlatformUnavailableException("not applied");
    }
  }

  private void applyLate() throws PlatformException {
    if (!late.isEmpty() && random.nextDouble() < FAULT_SHARE) {
      table.commit(late.remove());
    }
  }
}
