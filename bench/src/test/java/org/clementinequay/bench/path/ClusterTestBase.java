package org.clementinequay.bench.path;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base class of tests that run against stand-ins and entry hosts started anew for each test. */
abstract class ClusterTestBase {
  private final int hosts;
  private final boolean asProcesses;
  Cluster cluster;

  /**
   * Sets the cluster that each test starts.
   *
   * @param hosts number of entry hosts
   * @param asProcesses whether each entry host runs as a separate process
   */
  ClusterTestBase(int hosts, boolean asProcesses) {
    this.hosts = hosts;
    this.asProcesses = asProcesses;
  }

  @BeforeMethod
  public void startCluster() throws Exception {
    cluster = asProcesses ? Cluster.startAsProcesses(hosts) : Cluster.startInJvm(hosts);
  }

  @AfterMethod(alwaysRun = true)
  public void stopCluster() throws Exception {
    cluster.close();
  }
}
