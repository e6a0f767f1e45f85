package org.almondslip.bench.load;

import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Network;
import org.almondslip.bench.deployment.Node;

/** Where requests are sent and how a caller identifies itself there. */
public interface Entry {

  /**
   * Header by which the stand-in targets tell organisations apart. Callers send it themselves,
   * since routers and agents pass their headers on.
   */
  String ORGANISATION_HEADER = "X-Organisation";

  /**
   * Returns the options of a request.
   *
   * @param request the request
   * @return address, path and headers
   */
  RequestOptions toOptions(PlannedRequest request);

  /**
   * Returns the options for sending a request once more after it certainly did not run.
   *
   * @param request the request
   * @return address, path and headers, or empty when callers do not send again
   */
  default Optional<RequestOptions> toOther(PlannedRequest request) {
    return Optional.empty();
  }

  /** Sends requests to routers in turn. */
  final class Routers implements Entry {

    /** Time that a caller gives the fleet, in milliseconds. */
    private static final String TIMEOUT_MILLIS = "60000";

    /** Deployment whose organisations send. */
    private final Deployment deployment;

    /** Callers' addresses of the routers. */
    private final List<String> addresses;

    /**
     * Creates an entry.
     *
     * @param deployment the deployment whose organisations send
     * @param addresses the callers' addresses of the routers
     */
    public Routers(Deployment deployment, List<String> addresses) {
      this.deployment = deployment;
      this.addresses = List.copyOf(addresses);
    }

    @Override
    public RequestOptions toOptions(PlannedRequest request) {
      String path = request.kind().path(request.number());
      String prefix = request.kind().isModel() ? "" : "/services/" + request.pool();
      RequestOptions options =
          options(addresses.get(request.number() % addresses.size()), prefix + path, request)
              .putHeader(
                  "Authorization", deployment.organisation(request.organisation()).authorization())
              .putHeader("X-Request-Timeout-Ms", TIMEOUT_MILLIS)
              .putHeader(ORGANISATION_HEADER, request.organisation());
      if (request.kind() == RequestKind.KEYED_ORDER) {
        options.putHeader("Idempotency-Key", "order-" + request.number());
      }
      return options;
    }
  }

  /** Sends requests to routers in turn, and to the next router when one takes no work. */
  final class OtherRouter implements Entry {

    /** Entry of the first attempts. */
    private final Routers first;

    /** Entry of the second attempts. */
    private final Routers second;

    /**
     * Creates an entry.
     *
     * @param deployment the deployment whose organisations send
     * @param addresses the callers' addresses of the routers
     */
    public OtherRouter(Deployment deployment, List<String> addresses) {
      List<String> rotated = new ArrayList<>(addresses);
      Collections.rotate(rotated, -1);
      this.first = new Routers(deployment, addresses);
      this.second = new Routers(deployment, rotated);
    }

    @Override
    public RequestOptions toOptions(PlannedRequest request) {
      return first.toOptions(request);
    }

    @Override
    public Optional<RequestOptions> toOther(PlannedRequest request) {
      return Optional.of(second.toOptions(request));
    }
  }

  /** Sends requests straight to the targets of their pool in turn. */
  final class Targets implements Entry {

    /** Prefix of the organisations that the targets see. */
    private final String prefix;

    /** Addresses of the targets by pool. */
    private final Map<String, List<String>> addresses = new HashMap<>();

    /**
     * Creates an entry.
     *
     * @param deployment the deployment whose targets answer
     * @param network the links between callers and targets
     * @param prefix the prefix of the organisations that the targets see, which keeps the usage and
     *     the runs of this load apart from others
     */
    public Targets(Deployment deployment, Network network, String prefix) {
      this.prefix = prefix;
      deployment
          .pools()
          .forEach(
              pool ->
                  addresses.put(
                      pool.name(),
                      deployment.agents().stream()
                          .filter(agent -> agent.pool().filter(pool::equals).isPresent())
                          .map(agent -> network.callerAddress(agent, Node.Port.TARGET))
                          .toList()));
    }

    @Override
    public RequestOptions toOptions(PlannedRequest request) {
      List<String> targets = addresses.get(request.pool());
      String address = targets.get(request.number() % targets.size());
      return options(address, request.kind().path(request.number()), request)
          .putHeader(ORGANISATION_HEADER, prefix + request.organisation());
    }
  }

  /**
   * Returns options with an address, a method and a path.
   *
   * @param address the address as {@code ip:port}
   * @param path the path
   * @param request the request
   * @return the options
   */
  private static RequestOptions options(String address, String path, PlannedRequest request) {
    int colon = address.lastIndexOf(':');
    return new RequestOptions()
        .setMethod(request.kind().method())
        .setHost(address.substring(0, colon))
        .setPort(Integer.parseInt(address.substring(colon + 1)))
        .setURI(path)
        .putHeader("Content-Type", "application/json");
  }
}
