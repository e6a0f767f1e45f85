package org.almondslip.bench.deployment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Writes the settings of all processes of a deployment. */
public final class SettingsFiles {

  /** Secret that the processes of a deployment share; it exists on loopback addresses only. */
  private static final String SECRET = "bench-secret-on-loopback-only";

  /** Key of the operators of a deployment. */
  private static final String OPERATOR_KEY = "bench-operator-key";

  /** Deployment. */
  private final Deployment deployment;

  /** Links. */
  private final Network network;

  /** Platform. */
  private final Platform platform;

  /** Scheduling policy of the agents. */
  private final String policy;

  /** Files by name. */
  private final Map<String, String> files = new LinkedHashMap<>();

  /** Entries of the instance lists. */
  private final ArrayNode members = JsonNodeFactory.instance.arrayNode();

  /** Processes in the order of their start: program, name and an address that each binds. */
  private final List<String> processes = new ArrayList<>();

  /**
   * Prepares the files of a deployment.
   *
   * @param deployment the deployment
   * @param network its links
   * @param policy the scheduling policy of the agents
   */
  private SettingsFiles(Deployment deployment, Network network, String policy) {
    this.deployment = deployment;
    this.network = network;
    this.platform = new Platform(deployment);
    this.policy = policy;
  }

  /**
   * Writes the files of a deployment.
   *
   * @param deployment the deployment
   * @param policy the scheduling policy of the agents: {@code fair}, {@code fifo} or {@code
   *     round-robin}
   * @return content by file name; {@code processes} lists what to start, in order
   */
  public static Map<String, String> of(Deployment deployment, String policy) {
    SettingsFiles settings = new SettingsFiles(deployment, new Network(deployment), policy);
    settings.addTargets();
    settings.addLinks();
    settings.addPlatform();
    deployment.agents().forEach(settings::addAgent);
    deployment.routers().forEach(settings::addRouter);
    settings.files.put("instances.json", settings.members.toPrettyString() + "\n");
    settings.files.put("ticket.json", settings.ticket().toPrettyString() + "\n");
    String admin = deployment.routers().get(0).address(Node.Port.ADMIN);
    settings.files.put("admin", admin + "\n");
    settings.files.put("operator.key", OPERATOR_KEY + "\n");
    settings.files.put("processes", String.join("\n", settings.processes) + "\n");
    return settings.files;
  }

  /** Adds the stand-ins of the targets. */
  private void addTargets() {
    SettingsText text = new SettingsText().begin("standins");
    for (Node agent : deployment.agents()) {
      Pool pool = agent.pool().orElseThrow();
      text.begin(agent.target())
          .field("kind", pool.isModel() ? "model-engine" : "plain-service")
          .field("listen", agent.address(Node.Port.TARGET))
          .field("slots", pool.slotsPerTarget())
          .field(pool.isModel() ? "step" : "run_time", pool.unitMillis() + "ms")
          .end();
    }
    String ready = deployment.agents().get(0).address(Node.Port.TARGET);
    add("standins", "targets", text, ready);
  }

  /** Adds the links when the deployment has any. */
  private void addLinks() {
    if (network.links().isEmpty()) {
      return;
    }
    SettingsText text = new SettingsText().begin("standins");
    for (Network.Link link : network.links()) {
      text.begin(link.name())
          .field("kind", "link")
          .field("listen", link.control())
          .field("one_way_delay_micros", link.delayMicros())
          .list("routes", link.routes())
          .end();
    }
    List<Network.Link> links = network.links();
    add("standins", "network", text, links.get(links.size() - 1).control());
  }

  /** Adds the stand-ins of the platform. */
  private void addPlatform() {
    SettingsText text = new SettingsText().begin("standins");
    addStandin(text, "tables", "table-service", platform.tableService());
    addStandin(text, "objects", "object-store", platform.objectStore());
    for (String dataCentre : platform.dataCentres()) {
      String list = platform.instanceList(dataCentre);
      addStandin(text, "instances-" + dataCentre, "instance-list", list);
      deployment.routers().forEach(node -> addMember(dataCentre, node));
      deployment.agents().forEach(node -> addMember(dataCentre, node));
    }
    add("standins", "platform", text, platform.tableService());
  }

  /**
   * Adds a stand-in without further settings.
   *
   * @param text receives the settings
   * @param name the name
   * @param kind the kind
   * @param listen the address
   */
  private static void addStandin(SettingsText text, String name, String kind, String listen) {
    text.begin(name).field("kind", kind).field("listen", listen).end();
  }

  /**
   * Adds an instance to the list of a data centre.
   *
   * @param dataCentre the data centre that reads the list
   * @param node the instance
   */
  private void addMember(String dataCentre, Node node) {
    ObjectNode member = members.addObject();
    member.put("list", platform.instanceList(dataCentre)).put("id", node.instance());
    member
        .putObject("entry")
        .put("role", node.pool().isPresent() ? "agent" : "router")
        .put("region", node.region())
        .put("data_centre", node.dataCentre())
        .put("address", network.innerAddress(dataCentre, node))
        .put("target", node.pool().isPresent() ? node.target() : "")
        .put("leaving", false);
  }

  /**
   * Adds an agent.
   *
   * @param node the instance
   */
  private void addAgent(Node node) {
    SettingsText text = common(node);
    text.begin("target")
        .field("name", node.target())
        .field("address", node.address(Node.Port.TARGET))
        .end();
    if (!policy.equals("fair")) {
      text.begin("scheduling").field("policy", policy).end();
    }
    add("agent", node.instance(), text, node.address(Node.Port.OPERATIONS));
  }

  /**
   * Adds a router.
   *
   * @param node the instance
   */
  private void addRouter(Node node) {
    SettingsText text =
        common(node)
            .field("listen", node.address(Node.Port.LISTEN))
            .field("admin_listen", node.address(Node.Port.ADMIN))
            .field("operator_key", OPERATOR_KEY);
    add("router", node.instance(), text, node.address(Node.Port.OPERATIONS));
  }

  /**
   * Writes the settings that routers and agents share.
   *
   * @param node the instance
   * @return the settings so far
   */
  private SettingsText common(Node node) {
    return new SettingsText()
        .field("instance", node.instance())
        .field("region", node.region())
        .field("data_centre", node.dataCentre())
        .field("inner_listen", node.address(Node.Port.INNER))
        .field("operations_listen", node.address(Node.Port.OPERATIONS))
        .field("secret", SECRET)
        .begin("platform")
        .field("table_service", platform.tableService())
        .field("object_store", platform.objectStore())
        .field("instance_list", platform.instanceList(node.dataCentre()))
        .end();
  }

  /**
   * Adds a file and the process that reads it.
   *
   * @param program the program
   * @param name the name of the process
   * @param text the settings
   * @param address an address that the process binds; routers and agents serve /ready there
   */
  private void add(String program, String name, SettingsText text, String address) {
    files.put(name + ".yaml", text.toString());
    processes.add(program + " " + name + " " + address);
  }

  /**
   * Writes the ticket that creates all organisations, shares, keys and targets.
   *
   * @return the JSON form
   */
  private ObjectNode ticket() {
    ObjectNode ticket = JsonNodeFactory.instance.objectNode();
    ticket.put("number", 1).put("author", "bench").put("note", "initial state");
    ArrayNode objects = ticket.putArray("objects");
    for (Node agent : deployment.agents()) {
      addTarget(objects.addObject(), agent);
    }
    for (Organisation organisation : deployment.organisations()) {
      ObjectNode reach = objects.addObject().put("kind", "organisation");
      ArrayNode pools = reach.put("name", organisation.name()).putArray("reach");
      deployment.pools().forEach(pool -> pools.add(pool.name()));
      objects
          .addObject()
          .put("kind", "share")
          .put("name", organisation.name())
          .put("weight", organisation.share());
      objects
          .addObject()
          .put("kind", "key")
          .put("name", organisation.keyName())
          .put("organisation", organisation.name())
          .put("sha256", organisation.secretHash())
          .put("revoked", false);
    }
    return ticket;
  }

  /**
   * Writes a target.
   *
   * @param object receives the fields
   * @param agent the agent beside it
   */
  private static void addTarget(ObjectNode object, Node agent) {
    Optional<Pool> pool = agent.pool();
    object
        .put("kind", "target")
        .put("name", agent.target())
        .put("pool", pool.orElseThrow().name())
        .put("type", pool.orElseThrow().isModel() ? "model" : "service")
        .put("slots", pool.orElseThrow().slotsPerTarget())
        .put("fencing", "checked")
        .put("state", "active");
  }
}
