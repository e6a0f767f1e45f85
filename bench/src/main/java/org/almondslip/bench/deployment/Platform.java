package org.almondslip.bench.deployment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Addresses of the platform's services in a deployment. */
public final class Platform {

  /** Host of the platform's services, outside all regions. */
  private static final String HOST = "127.0.0.2";

  /** Deployment. */
  private final Deployment deployment;

  /** Port of the instance list of each data centre, counted from the base port. */
  private final Map<String, Integer> listPorts = new LinkedHashMap<>();

  /**
   * Lays out the addresses.
   *
   * @param deployment the deployment
   */
  public Platform(Deployment deployment) {
    this.deployment = deployment;
    for (Node node : deployment.agents()) {
      listPorts.putIfAbsent(node.dataCentre(), 2 + listPorts.size());
    }
    for (Node node : deployment.routers()) {
      listPorts.putIfAbsent(node.dataCentre(), 2 + listPorts.size());
    }
  }

  /**
   * Returns the address of the table service.
   *
   * @return the address as {@code ip:port}
   */
  public String tableService() {
    return HOST + ":" + deployment.basePort();
  }

  /**
   * Returns the address of the object store.
   *
   * @return the address as {@code ip:port}
   */
  public String objectStore() {
    return HOST + ":" + (deployment.basePort() + 1);
  }

  /**
   * Returns the address of the instance list that a data centre reads. Each data centre has its
   * own, since instances elsewhere are reached through links.
   *
   * @param dataCentre the data centre
   * @return the address as {@code ip:port}
   */
  public String instanceList(String dataCentre) {
    return HOST + ":" + (deployment.basePort() + listPorts.get(dataCentre));
  }

  /**
   * Returns the data centres.
   *
   * @return the data centres
   */
  public List<String> dataCentres() {
    return List.copyOf(listPorts.keySet());
  }
}
