package org.almondslip.bench.deployment;

import java.util.ArrayList;
import java.util.List;

/** Deployments that the tool knows. */
public enum DeploymentKind {
  /** Two routers and four agents, for a demonstration of some seconds. */
  DEMO {
    @Override
    public Deployment toDeployment(int basePort) {
      return new Deployment(
          "demo",
          List.of("east", "west"),
          1,
          List.of(new Pool("chat", true, 3, 4, 20), new Pool("orders", false, 1, 4, 40)),
          List.of(
              new Organisation("amber", 4, 8),
              new Organisation("birch", 2, 3),
              new Organisation("cedar", 1, 1),
              new Organisation("dune", 1, 1)),
          0,
          2000,
          0,
          basePort);
    }
  },
  /** Hanbit Toolworks. */
  HANBIT {
    @Override
    public Deployment toDeployment(int basePort) {
      return new Deployment(
          "hanbit",
          List.of("seoul", "busan", "gwangju"),
          1,
          List.of(new Pool("belt", true, 12, 4, 20), new Pool("order-desk", false, 3, 4, 60)),
          unevenOrganisations("hanbit"),
          1200,
          6000,
          3000,
          basePort);
    }
  },
  /** Crockera Norte. */
  CROCKERA {
    @Override
    public Deployment toDeployment(int basePort) {
      return new Deployment(
          "crockera",
          List.of("asturias", "navarra", "cantabria"),
          1,
          List.of(new Pool("plates", true, 8, 4, 20), new Pool("ordering", false, 3, 4, 60)),
          unevenOrganisations("crockera"),
          400,
          12000,
          1000,
          basePort);
    }
  };

  /** Organisations of the two large deployments. */
  private static final int ORGANISATIONS = 16;

  /** Organisations among them that are large. */
  private static final int LARGE = 3;

  /** Share of a large organisation; the others have 1. */
  private static final int LARGE_SHARE = 4;

  /** Demand of a large organisation; the others have 1. */
  private static final double LARGE_DEMAND = 8;

  /**
   * Returns the deployment.
   *
   * @param basePort the first port on each address
   * @return the deployment
   */
  public abstract Deployment toDeployment(int basePort);

  /**
   * Returns sixteen organisations, of which three are large.
   *
   * @param prefix the prefix of their names
   * @return the organisations
   */
  private static List<Organisation> unevenOrganisations(String prefix) {
    List<Organisation> organisations = new ArrayList<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      boolean large = i < LARGE;
      String name = prefix + "-" + (char) ('a' + i);
      organisations.add(new Organisation(name, large ? LARGE_SHARE : 1, large ? LARGE_DEMAND : 1));
    }
    return organisations;
  }
}
