package org.clementinequay.server.entry;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.cascade.RateKey;
import org.clementinequay.core.cascade.RatePath;
import org.clementinequay.core.cascade.RateReport;
import org.clementinequay.core.limit.LimitReport;
import org.testng.annotations.Test;

/** The JSON form in which policies' counters travel between entry hosts. */
public final class PolicyCountersTest {
  private static final Incarnation ORIGIN = new Incarnation("0123456789abcdef0123456789abcdef");

  /** Forms that must survive the way to a peer. */
  public static final class Form {
    private final ObjectMapper json = new ObjectMapper();

    /** Guards against counters that a peer cannot read, which would leave every host alone. */
    @Test
    public void ratesAreReadAsWritten() throws Exception {
      RatePath path = new RatePath(List.of(ModelVersion.parse("a@1"), ModelVersion.parse("b@2")));
      RateKey key = new RateKey("growers", "sheet", path, RateKey.Kind.PASS);
      RateReport report =
          new RateReport(
              ORIGIN,
              3,
              List.of(new RateReport.RateCounts(key, 1, 2, 3, 4)),
              List.of(new RateReport.TimeCounts("sheet", ModelVersion.parse("a@1"), 1, 20, 400)));
      assertEquals(json.readValue(json.writeValueAsString(report), RateReport.class), report);
    }

    /** Guards against shares of limits that a peer cannot read. */
    @Test
    public void limitsAreReadAsWritten() throws Exception {
      LimitReport report =
          new LimitReport(
              ORIGIN,
              7,
              1,
              Map.of("growers", new LimitReport.AccountUsage(2.5, 0.5, Map.of(ORIGIN, 0.25))));
      assertEquals(json.readValue(json.writeValueAsString(report), LimitReport.class), report);
    }
  }
}
