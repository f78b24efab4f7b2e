package org.clementinequay.bench.path;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Tests that each get stand-ins and entry hosts of their own. */
abstract class WithCluster {
  private final int hosts;
  private final boolean asProcesses;
  Cluster cluster;

  /**
   * Creates the tests.
   *
   * @param hosts number of entry hosts
   * @param asProcesses whether each host has a process of its own
   */
  WithCluster(int hosts, boolean asProcesses) {
    this.hosts = hosts;
    this.asProcesses = asProcesses;
  }

  @BeforeMethod
  public void startCluster() throws Exception {
    cluster = asProcesses ? Cluster.startProcesses(hosts) : Cluster.start(hosts);
  }

  @AfterMethod(alwaysRun = true)
  public void stopCluster() throws Exception {
    cluster.close();
  }
}
