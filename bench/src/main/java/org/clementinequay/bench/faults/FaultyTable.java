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

/** Table service as reached from one failure domain, with the faults of the scenario. */
final class FaultyTable implements TableService {
  private final Simulation simulation;
  private final String domain;

  FaultyTable(Simulation simulation, String domain) {
    this.simulation = simulation;
    this.domain = domain;
  }

  @Override
  public Optional<Row> read(RowKey key) throws PlatformException {
    checkReachable();
    return simulation.table.read(key);
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    checkReachable();
    return simulation.table.scan(table, keyPrefix, afterKey, limit);
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    checkReachable();
    CommitResult result = simulation.table.commit(writes);
    if (simulation.scenario.isAnswerLost(simulation.nowMillis(), simulation.random.nextDouble())) {
      throw new AnswerLostException("simulated loss of the answer");
    }
    return result;
  }

  private void checkReachable() throws PlatformUnavailableException {
    long now = simulation.nowMillis();
    if (simulation.scenario.isStoreDown(now) || simulation.scenario.isPartitioned(domain, now)) {
      throw new PlatformUnavailableException("simulated store outage or partition");
    }
  }
}
