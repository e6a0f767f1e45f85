package org.almondslip.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.DeploymentKind;
import org.almondslip.bench.deployment.SettingsFiles;
import org.almondslip.bench.fault.FaultCase;
import org.almondslip.bench.fault.FaultRun;
import org.almondslip.bench.measure.Slope;
import org.almondslip.bench.slopes.SlopesRun;

/** Options of one subcommand, and what it does. */
@Parameters
final class Command {

  /** Loads of a measurement at several loads, as parts of the capacity. */
  private static final double[] LOADS = {0.2, 0.4, 0.6, 0.8};

  /** Rounds of a soak. */
  private static final int SOAK_ROUNDS = 10;

  /** Load of a soak, as a part of the capacity. */
  private static final double SOAK_LOAD = 0.5;

  /** Directory of settings and process ids. */
  @Parameter(names = "--dir", description = "Directory of settings and process ids")
  private String directory = "run";

  /** Time of the load. */
  @Parameter(names = "--seconds", description = "Time of the load in seconds")
  private int seconds = 30;

  /** Seed of the load. */
  @Parameter(names = "--seed", description = "Seed of the load")
  private long seed = 1;

  /** First port. */
  @Parameter(names = "--base-port", description = "First port on each loopback address")
  private int basePort = 20_000;

  /** Policy of the agents. */
  @Parameter(names = "--policy", description = "fair, fifo or round-robin")
  private String policy = "fair";

  /** Deployment. */
  @Parameter(names = "--deployment", description = "DEMO, HANBIT or CROCKERA")
  private DeploymentKind deployment = DeploymentKind.DEMO;

  /** Fault that strikes during the load. */
  @Parameter(names = "--fault", description = "Name of the case of the subcommand fault")
  private String fault = "";

  /** Whether to leave out the routers. */
  @Parameter(names = "--straight", description = "Send straight to the targets")
  private boolean straight;

  /** Picture of the slopes. */
  @Parameter(names = "--plot", description = "PNG file of the slopes")
  private String plot = "slopes.png";

  /** What a subcommand does. */
  enum Action {
    /** Writes the settings of a deployment. */
    PREPARE {
      @Override
      ObjectNode run(Command command) {
        return command.prepare();
      }
    },
    /** Enters the instances of a deployment into its instance lists. */
    REGISTER {
      @Override
      ObjectNode run(Command command) {
        return Registration.of(Vertx.vertx(), Path.of(command.directory));
      }
    },
    /** Sends a short burst. */
    DEMO {
      @Override
      ObjectNode run(Command command) {
        return command.experiment(DeploymentKind.DEMO).demo(command.millis());
      }
    },
    /** Measures the deployment Hanbit. */
    HANBIT {
      @Override
      ObjectNode run(Command command) {
        return command.experiment(DeploymentKind.HANBIT).fleet(command.millis());
      }
    },
    /** Measures the deployment Crockera. */
    CROCKERA {
      @Override
      ObjectNode run(Command command) {
        return command.experiment(DeploymentKind.CROCKERA).fleet(command.millis());
      }
    },
    /** Measures how costs of a running deployment grow with the load. */
    LOADS {
      @Override
      ObjectNode run(Command command) {
        return command.loads();
      }
    },
    /** Measures how costs of the decision code grow with the size of the fleet. */
    SLOPES {
      @Override
      ObjectNode run(Command command) {
        return SlopesRun.run(Path.of(command.plot));
      }
    },
    /** Sends a steady load during which a fault strikes, and judges the answers. */
    FAULT {
      @Override
      ObjectNode run(Command command) {
        return command.fault();
      }
    },
    /** Sends a steady load and watches memory. */
    SOAK {
      @Override
      ObjectNode run(Command command) {
        return command.soak();
      }
    };

    /**
     * Runs the subcommand.
     *
     * @param command its options
     * @return the result
     */
    abstract ObjectNode run(Command command);
  }

  /**
   * Returns the time of the load.
   *
   * @return the time in milliseconds
   */
  private long millis() {
    return seconds * 1000L;
  }

  /**
   * Prepares experiments.
   *
   * @param kind the deployment
   * @return the experiments
   */
  private Experiment experiment(DeploymentKind kind) {
    return new Experiment(
        Vertx.vertx(), kind.toDeployment(basePort), Path.of(directory), seed, straight);
  }

  /**
   * Writes the settings of a deployment.
   *
   * @return the number of files
   */
  private ObjectNode prepare() {
    var files = SettingsFiles.of(deployment.toDeployment(basePort), policy);
    try {
      Files.createDirectories(Path.of(directory));
      for (var entry : files.entrySet()) {
        Files.writeString(Path.of(directory, entry.getKey()), entry.getValue());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return JsonNodeFactory.instance.objectNode().put("files", files.size());
  }

  /**
   * Sends a steady load to the deployment demo and judges the answers.
   *
   * @return the counts and what the case does not allow
   */
  private ObjectNode fault() {
    FaultCase kind =
        FaultCase.ofLabel(fault)
            .orElseThrow(() -> new ParameterException("unknown fault '" + fault + "'"));
    Deployment demo = DeploymentKind.DEMO.toDeployment(basePort);
    return new FaultRun(Vertx.vertx(), demo, Path.of(directory), seed).run(kind, millis());
  }

  /**
   * Measures costs at several loads and fits straight lines.
   *
   * @return the rounds and the slopes
   */
  private ObjectNode loads() {
    Experiment experiment = experiment(deployment);
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    ArrayNode rounds = json.putArray("rounds");
    experiment.warmUp(SOAK_ROUNDS);
    for (int i = 0; i < LOADS.length; i++) {
      rounds.add(experiment.steady(LOADS[i], millis() / LOADS.length, i));
    }
    for (String field : new String[] {"control_bytes_per_second_per_node", "router_cpu_cores"}) {
      Slope slope = Slope.of(rounds, "requests_per_second", field);
      json.putObject(field)
          .put("at_no_load", slope.intercept())
          .put("per_request_per_second", slope.slope());
    }
    return json;
  }

  /**
   * Sends a steady load in rounds.
   *
   * @return the rounds
   */
  private ObjectNode soak() {
    Experiment experiment = experiment(deployment);
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    ArrayNode rounds = json.putArray("rounds");
    experiment.warmUp(SOAK_ROUNDS);
    for (int i = 0; i < SOAK_ROUNDS; i++) {
      rounds.add(experiment.steady(SOAK_LOAD, millis() / SOAK_ROUNDS, i));
    }
    return json;
  }
}
