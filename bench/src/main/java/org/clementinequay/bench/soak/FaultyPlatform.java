package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;

/**
 * Table service and object store that inject the faults of a plan. A call consists of the network
 * delay of the request, the effect, and the network delay of the answer. Each of the three can
 * fail, and other threads can run in between.
 */
public final class FaultyPlatform {
  /**
   * Upper bound of the delay of a write that takes effect after its caller was told of a failure.
   */
  private static final long MAX_LATE_EFFECT_MILLIS = 3_000;

  private final VirtualScheduler scheduler;
  private final FaultPlan plan;
  private final RandomGenerator random;
  private final VirtualScheduler.Process network;
  private final InMemoryTableService faultFreeTable = new InMemoryTableService(CallHook.NONE);
  private final InMemoryObjectStore faultFreeStore = new InMemoryObjectStore(CallHook.NONE);
  private final TableService faultyTable = new FaultyTableService();
  private final ObjectStore faultyStore = new FaultyObjectStore();

  /** Creates a platform without rows or objects. */
  public FaultyPlatform(VirtualScheduler scheduler, FaultPlan plan, RandomGenerator random) {
    this.scheduler = scheduler;
    this.plan = plan;
    this.random = random;
    this.network = scheduler.process("network");
  }

  /** Returns the table service with injected faults; to be called by threads of the scheduler. */
  public TableService table() {
    return faultyTable;
  }

  /** Returns the object store with injected faults; to be called by threads of the scheduler. */
  public ObjectStore store() {
    return faultyStore;
  }

  /** Returns the table service without faults, for checks at the end of a run. */
  public TableService faultFreeTable() {
    return faultFreeTable;
  }

  /** Returns the object store without faults, for checks at the end of a run. */
  public ObjectStore faultFreeStore() {
    return faultFreeStore;
  }

  private interface Call<T> {
    T apply() throws PlatformException;
  }

  /** Blocks for a random network delay up to the limit of the current phase. */
  void delayMessage() {
    long maxDelayNanos = plan.phaseAt(scheduler.nowNanos()).maxDelay().toNanos();
    // The cube makes most delays much shorter than the longest.
    double fraction = Math.pow(random.nextDouble(), 3);
    scheduler.sleep(Duration.ofNanos((long) (maxDelayNanos * fraction)));
  }

  private <T> T call(String operation, boolean write, Call<T> effect) throws PlatformException {
    delayMessage();
    FaultPlan.Phase phase = plan.phaseAt(scheduler.nowNanos());
    if (scheduler.currentProcess().partitioned()
        || random.nextDouble() < phase.refuseProbability()) {
      throw new PlatformUnavailableException(operation + " refused by the fault plan");
    }
    if (write && random.nextDouble() < phase.lateProbability()) {
      Duration delay = Duration.ofMillis(random.nextLong(MAX_LATE_EFFECT_MILLIS));
      network.startAfter(delay, "late " + operation, effect::apply);
      throw new AnswerLostException(operation + " delayed by the fault plan");
    }
    T answer = effect.apply();
    delayMessage();
    if (scheduler.currentProcess().partitioned()
        || random.nextDouble() < phase.loseAnswerProbability()) {
      String message = "answer to " + operation + " lost by the fault plan";
      throw write ? new AnswerLostException(message) : new PlatformUnavailableException(message);
    }
    return answer;
  }

  private final class FaultyTableService implements TableService {
    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
      return call("read", false, () -> faultFreeTable.read(key));
    }

    @Override
    public List<Row> scan(String name, String keyPrefix, String afterKey, int limit)
        throws PlatformException {
      return call("scan", false, () -> faultFreeTable.scan(name, keyPrefix, afterKey, limit));
    }

    @Override
    public CommitResult commit(List<RowWrite> writes) throws PlatformException {
      return call("commit", true, () -> faultFreeTable.commit(writes));
    }
  }

  private final class FaultyObjectStore implements ObjectStore {
    @Override
    public boolean putIfAbsent(String name, byte[] content) throws PlatformException {
      return call("put", true, () -> faultFreeStore.putIfAbsent(name, content));
    }

    @Override
    public Optional<byte[]> read(String name) throws PlatformException {
      return call("get", false, () -> faultFreeStore.read(name));
    }
  }
}
