package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the order of requests while an account is beyond its share. */
public class AccountShareStepTest {
  private GatewayFixture fixture;

  @BeforeMethod
  public void createGateway() {
    fixture = new GatewayFixture();
  }

  private int urgency(String account) {
    RequestForwarder forwarder = fixture.create(RequestKind.RESUMABLE_STREAM, List.of());
    AccountShareStep step = new AccountShareStep(forwarder, Optional.of(account));
    step.recordRequest();
    step.recordRequest();
    return step.urgency(2);
  }

  private void sendMany() {
    for (int i = 0; i < 40; i++) {
      urgency("hot");
    }
    for (int i = 0; i < 5; i++) {
      urgency("small");
    }
    fixture.gateway.accountShares.recordContention(fixture.clock.nanoTime());
    fixture.clock.advance(Duration.ofMillis(500));
  }

  @Test
  public void comesLastBeyondTheShare() {
    fixture.gateway.accountShares.activate(true);
    sendMany();
    assertEquals(urgency("hot"), AccountShareStep.LOWEST_URGENCY);
    assertEquals(urgency("hot"), AccountShareStep.LOWEST_URGENCY);
    assertEquals(urgency("small"), 2);
    assertEquals(fixture.log.stream().filter("over_share"::equals).count(), 1);
  }

  @Test
  public void keepsItsOrderIfSharesAreOff() {
    sendMany();
    assertEquals(urgency("hot"), 2);
  }

  @DataProvider
  public Object[][] settings() {
    return new Object[][] {
      {"\"engineLoadHosts\":40", 0},
      {"\"accountShareHosts\":-1", 0},
      {"\"accountShareHosts\":null", 0},
      {"\"accountShareHosts\":\"40\"", 0},
      {"\"accountShareHosts\":1e300", 0},
      {"\"accountShareHosts\":40.5", 0},
      {"\"accountShareHosts\":40", 40},
    };
  }

  @Test(dataProvider = "settings")
  public void sharesAreOnOnlyIfTheSettingsSaySo(String fields, int hosts)
      throws InvalidSettingsException {
    String text =
        """
        {"name":"h","domain":"d","region":"r","callers":"h:1","ready":"h:2","peers":"h:3",
        "store":"h:4","stopSeconds":1,"retryWindowSeconds":1,%s}"""
            .formatted(fields);
    assertEquals(GatewaySettings.parse(text).listedHostsForShares(), hosts);
  }
}
