package org.almondslip.bench.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Routers, targets and organisations of one fleet.
 *
 * @param name the name
 * @param regions the regions
 * @param routersPerRegion routers in each region
 * @param pools the pools; the first one is the model pool
 * @param organisations the organisations
 * @param dataCentreMicros one-way delay between data centres of a region
 * @param regionMicros one-way delay between regions
 * @param clientMicros one-way delay between callers and routers
 * @param basePort the first port on each address
 */
public record Deployment(
    String name,
    List<String> regions,
    int routersPerRegion,
    List<Pool> pools,
    List<Organisation> organisations,
    long dataCentreMicros,
    long regionMicros,
    long clientMicros,
    int basePort) {

  /** Data centres in each region. */
  private static final int DATA_CENTRES = 2;

  /** First host number of agents within a region's addresses; routers start at 1. */
  private static final int FIRST_AGENT_HOST = 11;

  /**
   * Copies the lists.
   *
   * @param name the name
   * @param regions the regions
   * @param routersPerRegion routers in each region
   * @param pools the pools
   * @param organisations the organisations
   * @param dataCentreMicros one-way delay between data centres of a region
   * @param regionMicros one-way delay between regions
   * @param clientMicros one-way delay between callers and routers
   * @param basePort the first port on each address
   */
  public Deployment {
    regions = List.copyOf(regions);
    pools = List.copyOf(pools);
    organisations = List.copyOf(organisations);
  }

  /**
   * Returns the routers.
   *
   * @return the routers, region by region
   */
  public List<Node> routers() {
    List<Node> nodes = new ArrayList<>();
    for (int region = 0; region < regions.size(); region++) {
      for (int i = 0; i < routersPerRegion; i++) {
        nodes.add(node("router", region, i, 1 + i, Optional.empty()));
      }
    }
    return nodes;
  }

  /**
   * Returns the agents. The targets of each pool are dealt out to the regions in turn.
   *
   * @return the agents
   */
  public List<Node> agents() {
    List<Node> nodes = new ArrayList<>();
    int number = 0;
    for (Pool pool : pools) {
      for (int i = 0; i < pool.targets(); i++) {
        int index = number / regions.size();
        nodes.add(
            node(
                "agent",
                number % regions.size(),
                index,
                FIRST_AGENT_HOST + index,
                Optional.of(pool)));
        number++;
      }
    }
    return nodes;
  }

  /**
   * Returns the pool with a name.
   *
   * @param pool the name
   * @return the pool
   */
  public Pool pool(String pool) {
    return pools.stream().filter(each -> each.name().equals(pool)).findFirst().orElseThrow();
  }

  /**
   * Returns the organisation with a name.
   *
   * @param organisation the name
   * @return the organisation
   */
  public Organisation organisation(String organisation) {
    return organisations.stream()
        .filter(each -> each.name().equals(organisation))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Returns the delay between two instances.
   *
   * @param from one instance
   * @param to the other instance
   * @return the one-way delay in microseconds
   */
  public long delayMicros(Node from, Node to) {
    if (!from.region().equals(to.region())) {
      return regionMicros;
    }
    return from.dataCentre().equals(to.dataCentre()) ? 0 : dataCentreMicros;
  }

  /**
   * Returns the loopback address of a region.
   *
   * @param region the region
   * @return the address
   */
  public String hostOf(String region) {
    return "127.0." + (regions.indexOf(region) + 1) + ".250";
  }

  /**
   * Creates an instance.
   *
   * @param role the role, for its name
   * @param region the number of the region
   * @param index the number within the role and region
   * @param host the last part of the address
   * @param pool the pool of its target, empty for a router
   * @return the instance
   */
  private Node node(String role, int region, int index, int host, Optional<Pool> pool) {
    String name = regions.get(region);
    return new Node(
        role + "-" + name + "-" + (index + 1),
        name,
        name + "-" + (index % DATA_CENTRES + 1),
        "127.0." + (region + 1) + "." + host,
        basePort,
        pool);
  }
}
