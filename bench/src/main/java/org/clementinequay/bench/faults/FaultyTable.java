package org.clementinequay.bench.faults;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** The table service as seen from one failure domain. */
final class FaultyTable implements TableService {
  private final World world;
  private final String domain;

  FaultyTable(World world, String domain) {
    this.world = world;
    this.domain = domain;
  }

  @Override
  public Optional<Row> read(RowKey key) throws PlatformException {
    checkReachable();
    return world.table.read(key);
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    checkReachable();
    return world.table.scan(table, keyPrefix, afterKey, limit);
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    checkReachable();
    CommitResult result = world.table.commit(writes);
    if (world.scenario.answerLost(world.now(), world.random.nextDouble())) {
      throw new AnswerLostException("simulated loss");
    }
    return result;
  }

  private void checkReachable() throws PlatformUnavailableException {
    long now = world.now();
    if (world.scenario.storeDown(now) || world.scenario.cut(domain, now)) {
      throw new PlatformUnavailableException("simulated outage");
    }
  }
}
