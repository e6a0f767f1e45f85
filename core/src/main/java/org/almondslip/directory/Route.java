package org.almondslip.directory;

import java.util.List;

/**
 * Rule that sends the requests of a host and path to services.
 *
 * @param name the name of the route
 * @param host the host that callers name, in lower case
 * @param prefix the beginning of the path, which starts and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a request may take, in milliseconds
 * @param objectiveMillis the response-time objective, in milliseconds
 * @param priority the rank of the requests, 0 is the highest
 * @param shares the services with their weights
 * @param maxAttempts the largest number of targets to which one request is sent
 * @param anonymous whether callers need no key
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
    boolean anonymous) {

  /**
   * Copies the list.
   *
   * @param name the name of the route
   * @param host the host that callers name, in lower case
   * @param prefix the beginning of the path
   * @param kind what may be repeated
   * @param timeoutMillis the longest time that a request may take, in milliseconds
   * @param objectiveMillis the response-time objective, in milliseconds
   * @param priority the rank of the requests
   * @param shares the services with their weights
   * @param maxAttempts the largest number of targets to which one request is sent
   * @param anonymous whether callers need no key
   */
  public Route {
    shares = List.copyOf(shares);
  }

  /**
   * Returns the service for a request.
   *
   * @param draw a number drawn evenly from 0 (inclusive) to 1 (exclusive)
   * @return the name of the service
   */
  public String selectService(double draw) {
    double total = 0;
    for (Share share : shares) {
      total += share.weight();
    }
    double rest = draw * total;
    for (Share share : shares) {
      rest -= share.weight();
      if (rest < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /**
   * Part of a route's requests.
   *
   * @param service the name of the service
   * @param weight the weight among the shares of the route, not negative
   */
  public record Share(String service, double weight) {}
}
