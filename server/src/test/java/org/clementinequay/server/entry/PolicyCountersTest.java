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

/** Tests the JSON form of the counters that entry hosts exchange. */
public final class PolicyCountersTest {
  private static final Incarnation ORIGIN = new Incarnation("0123456789abcdef0123456789abcdef");

  /** Reports must be equal after serialization and deserialization. */
  public static final class Serialization {
    private final ObjectMapper json = new ObjectMapper();

    /** Guards against pass rates that a peer cannot read, so that each host has only its own. */
    @Test
    public void rateReportRoundTrips() throws Exception {
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

    /** Guards against reports of account limits that a peer cannot read. */
    @Test
    public void limitReportRoundTrips() throws Exception {
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
