package org.almondslip.directory;

import java.util.List;
import org.almondslip.residency.AllowedRegions;

/**
 * Rule that assigns the requests for a host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host in the request, in lower case
 * @param prefix the path prefix, which starts and ends with a slash
 * @param kind the kind of requests, which determines whether they may be repeated
 * @param timeoutMillis the request timeout, in milliseconds
 * @param objectiveMillis the response-time objective, in milliseconds
 * @param priority the priority of the requests; 0 is the highest
 * @param shares the services and their weights, not empty
 * @param maxAttempts the maximum number of targets to which one request is sent
 * @param anonymous whether callers do not need an API key
 * @param allowedRegions the regions in which the requests may be served
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    long timeoutMillis,
    long objectiveMillis,
    int priority,
    List<Share> shares,
    int maxAttempts,
    boolean anonymous,
    AllowedRegions allowedRegions) {

  /**
   * Creates a route with an immutable copy of the shares.
   *
   * @param name the name of the route
   * @param host the host in the request, in lower case
   * @param prefix the path prefix, which starts and ends with a slash
   * @param kind the kind of requests, which determines whether they may be repeated
   * @param timeoutMillis the request timeout, in milliseconds
   * @param objectiveMillis the response-time objective, in milliseconds
   * @param priority the priority of the requests; 0 is the highest
   * @param shares the services and their weights, not empty
   * @param maxAttempts the maximum number of targets to which one request is sent
   * @param anonymous whether callers do not need an API key
   * @param allowedRegions the regions in which the requests may be served
   */
  public Route {
    shares = List.copyOf(shares);
  }

  /**
   * Creates a route whose requests may be served in any region.
   *
   * @param name the name of the route
   * @param host the host in the request, in lower case
   * @param prefix the path prefix, which starts and ends with a slash
   * @param kind the kind of requests, which determines whether they may be repeated
   * @param timeoutMillis the request timeout, in milliseconds
   * @param objectiveMillis the response-time objective, in milliseconds
   * @param priority the priority of the requests; 0 is the highest
   * @param shares the services and their weights, not empty
   * @param maxAttempts the maximum number of targets to which one request is sent
   * @param anonymous whether callers do not need an API key
   */
  public Route(
      String name,
      String host,
      String prefix,
      RouteKind kind,
      long timeoutMillis,
      long objectiveMillis,
      int priority,
      List<Share> shares,
      int maxAttempts,
      boolean anonymous) {
    this(
        name,
        host,
        prefix,
        kind,
        timeoutMillis,
        objectiveMillis,
        priority,
        shares,
        maxAttempts,
        anonymous,
        AllowedRegions.ANY);
  }

  /**
   * Selects a service for a request in proportion to the weights.
   *
   * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
   * @return the name of the service
   */
  public String selectService(double draw) {
    double totalWeight = 0;
    for (Share share : shares) {
      totalWeight += share.weight();
    }
    double remaining = draw * totalWeight;
    for (Share share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /**
   * Share of a route's requests that is sent to one service.
   *
   * @param service the name of the service
   * @param weight the weight among the shares of the route, not negative
   */
  public record Share(String service, double weight) {}
}
