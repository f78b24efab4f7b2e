package org.clementinequay.bench.soak;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** Wrappers of a table service that disable one guarantee that the code under test relies on. */
final class MutatedTable {
  private MutatedTable() {}

  private abstract static class DelegatingTable implements TableService {
    final TableService table;

    DelegatingTable(TableService table) {
      this.table = table;
    }

    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
      return table.read(key);
    }

    @Override
    public List<Row> scan(String name, String keyPrefix, String afterKey, int limit)
        throws PlatformException {
      return table.scan(name, keyPrefix, afterKey, limit);
    }

    @Override
    public CommitResult commit(List<RowWrite> writes) throws PlatformException {
      return table.commit(writes);
    }
  }

  /** Returns a table service that ignores the expected versions of the selected writes. */
  static TableService ignoreExpectedVersions(TableService table, Predicate<RowWrite> selected) {
    return new DelegatingTable(table) {
      @Override
      public CommitResult commit(List<RowWrite> writes) throws PlatformException {
        return table.commit(
            writes.stream()
                .map(
                    write ->
                        selected.test(write)
                            ? new RowWrite(write.key(), RowWrite.ANY, write.newValue())
                            : write)
                .toList());
      }
    };
  }

  /** Returns a table service that reports a lost answer as a write that did not happen. */
  static TableService lostAnswerAsRefused(TableService table) {
    return new DelegatingTable(table) {
      @Override
      public CommitResult commit(List<RowWrite> writes) throws PlatformException {
        try {
          return table.commit(writes);
        } catch (AnswerLostException e) {
          throw new PlatformUnavailableException("mutant: lost answer reported as a refusal", e);
        }
      }
    };
  }
}
