package org.almondslip.bench.deployment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Links of a deployment. A process in one data centre reaches an instance in another one at a relay
 * address, which its instance list names in place of the instance's own address.
 */
public final class Network {

  /** First port of relays, counted from the base port of the deployment. */
  private static final int FIRST_RELAY_PORT = 20;

  /** Deployment. */
  private final Deployment deployment;

  /** Links by name. */
  private final Map<String, Link> links = new LinkedHashMap<>();

  /** Relay address by the place that connects and the address that it wants to reach. */
  private final Map<String, String> relays = new LinkedHashMap<>();

  /** Next free port of each relay host. */
  private final Map<String, Integer> nextPort = new LinkedHashMap<>();

  /**
   * A link.
   *
   * @param name the name
   * @param control the address that takes faults
   * @param delayMicros the one-way delay
   * @param crossesRegions whether it stands between regions
   * @param routes relayed addresses, each as {@code ip:port->ip:port}
   */
  public record Link(
      String name, String control, long delayMicros, boolean crossesRegions, List<String> routes) {}

  /**
   * Lays out the links of a deployment.
   *
   * @param deployment the deployment
   */
  public Network(Deployment deployment) {
    this.deployment = deployment;
    List<Node> nodes = new ArrayList<>(deployment.routers());
    nodes.addAll(deployment.agents());
    Map<String, Node> places = new LinkedHashMap<>();
    nodes.forEach(node -> places.putIfAbsent(node.dataCentre(), node));
    for (Node from : places.values()) {
      nodes.forEach(to -> addInner(from, to));
    }
    deployment.routers().forEach(router -> addCaller(router, Node.Port.LISTEN));
    deployment.agents().forEach(agent -> addCaller(agent, Node.Port.TARGET));
  }

  /**
   * Returns the links.
   *
   * @return the links
   */
  public List<Link> links() {
    return List.copyOf(links.values());
  }

  /**
   * Returns the address at which a data centre reaches the inner protocol of an instance.
   *
   * @param dataCentre the data centre
   * @param to the instance
   * @return the address as {@code ip:port}
   */
  public String innerAddress(String dataCentre, Node to) {
    String direct = to.address(Node.Port.INNER);
    return relays.getOrDefault(dataCentre + " " + direct, direct);
  }

  /**
   * Returns the address at which callers reach a router or, in the direct load, a target.
   *
   * @param to the instance
   * @param port the port
   * @return the address as {@code ip:port}
   */
  public String callerAddress(Node to, Node.Port port) {
    String direct = to.address(port);
    return relays.getOrDefault("callers " + direct, direct);
  }

  /**
   * Adds a relay between two data centres when there is a delay between them.
   *
   * @param from an instance of the data centre that connects
   * @param to the instance to reach
   */
  private void addInner(Node from, Node to) {
    long delay = deployment.delayMicros(from, to);
    boolean crosses = !from.region().equals(to.region());
    if (delay > 0 || crosses) {
      String name = crosses ? from.region() + "-to-" + to.region() : from.region() + "-inside";
      String direct = to.address(Node.Port.INNER);
      add(name, from.dataCentre(), deployment.hostOf(from.region()), delay, crosses, direct);
    }
  }

  /**
   * Adds a relay between callers and an instance when there is a delay between them.
   *
   * @param to the instance to reach
   * @param port the port to reach
   */
  private void addCaller(Node to, Node.Port port) {
    if (deployment.clientMicros() > 0) {
      String host = deployment.hostOf(to.region());
      String name = "callers-" + to.region();
      add(name, "callers", host, deployment.clientMicros(), false, to.address(port));
    }
  }

  /**
   * Adds a relay.
   *
   * @param name the name of the link
   * @param place the place that connects
   * @param host the relay host
   * @param delay the one-way delay in microseconds
   * @param crosses whether the link stands between regions
   * @param direct the address to reach
   */
  private void add(
      String name, String place, String host, long delay, boolean crosses, String direct) {
    Link link =
        links.computeIfAbsent(
            name, key -> new Link(key, free(host), delay, crosses, new ArrayList<>()));
    String relay = free(host);
    link.routes().add(relay + "->" + direct);
    relays.put(place + " " + direct, relay);
  }

  /**
   * Returns a free address.
   *
   * @param host the host
   * @return the address as {@code ip:port}
   */
  private String free(String host) {
    int offset = nextPort.merge(host, 1, Integer::sum) - 1;
    return host + ":" + (deployment.basePort() + FIRST_RELAY_PORT + offset);
  }
}
