package org.almondslip.execution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Requests held by the agent: staged, running, and ended but not acknowledged. */
final class Workload {

  /** All requests by identity. */
  private final Map<RequestKey, Request> live = new HashMap<>();

  /** Requests that have left the staging queue and have not ended, by token. */
  private final Map<Long, Request> running = new LinkedHashMap<>();

  /** Staged requests, in the order of their dispatch. */
  private final Deque<Request> staged = new ArrayDeque<>();

  /** Staged and running requests that must run exclusively. */
  private final Set<Long> exclusive = new HashSet<>();

  /** Number of requests to grant ahead. */
  private final PrefetchWindow prefetch = new PrefetchWindow();

  /** Unacknowledged bytes of all answers. */
  private final ReplayBuffer.ByteGauge unacknowledged = new ReplayBuffer.ByteGauge();

  /**
   * Adds a request to the staging queue.
   *
   * @param request the request
   */
  void stage(Request request) {
    live.put(request.key(), request);
    staged.addLast(request);
  }

  /**
   * Moves the first staged request to the running requests.
   *
   * @return the request
   */
  Request startFirst() {
    Request request = staged.removeFirst();
    running.put(request.token(), request);
    return request;
  }

  /**
   * Records that a request must run exclusively.
   *
   * @param token the request
   */
  void markExclusive(long token) {
    exclusive.add(token);
  }

  /**
   * Removes a request from the running or staged requests.
   *
   * @param request the request
   * @return true if it had to run exclusively
   */
  boolean release(Request request) {
    if (running.remove(request.token()) == null) {
      staged.remove(request);
    }
    return exclusive.remove(request.token());
  }

  /**
   * Removes a request that has ended and discards its buffered answer.
   *
   * @param request the request
   */
  void remove(Request request) {
    live.remove(request.key());
    request.answer().buffer().clear();
  }

  /**
   * Finds a request.
   *
   * @param key the cluster-wide identifier
   * @return the request, or empty if the agent does not hold it
   */
  Optional<Request> find(RequestKey key) {
    return Optional.ofNullable(live.get(key));
  }

  /**
   * Finds a running request.
   *
   * @param token the identifier at this agent
   * @return the request, or empty if it is not running
   */
  Optional<Request> running(long token) {
    return Optional.ofNullable(running.get(token));
  }

  /**
   * Returns the first staged request.
   *
   * @return the request, or empty if nothing is staged
   */
  Optional<Request> firstStaged() {
    return Optional.ofNullable(staged.peekFirst());
  }

  /**
   * Returns the running requests, including those that claim a key or wait for a slot with their
   * claim.
   *
   * @return a copy of the list
   */
  List<Request> runningRequests() {
    return List.copyOf(running.values());
  }

  /**
   * Returns the staged requests.
   *
   * @return a copy of the list
   */
  List<Request> staged() {
    return List.copyOf(staged);
  }

  /**
   * Returns all requests.
   *
   * @return a copy of the list
   */
  List<Request> live() {
    return List.copyOf(live.values());
  }

  /**
   * Returns the number of requests at the target, each of which holds a slot.
   *
   * @return the number
   */
  int callingCount() {
    int calling = 0;
    for (Request request : running.values()) {
      calling += request.phase() == Request.Phase.CALLING ? 1 : 0;
    }
    return calling;
  }

  /**
   * Returns the window that determines how many requests to grant ahead.
   *
   * @return the prefetch window
   */
  PrefetchWindow prefetch() {
    return prefetch;
  }

  /**
   * Returns the number of running requests.
   *
   * @return the number
   */
  int runningCount() {
    return running.size();
  }

  /**
   * Returns the number of staged requests.
   *
   * @return the number
   */
  int stagedCount() {
    return staged.size();
  }

  /**
   * Returns whether a request that must run exclusively is staged or running.
   *
   * @return true if there is one
   */
  boolean hasExclusive() {
    return !exclusive.isEmpty();
  }

  /**
   * Returns whether a request that must run exclusively is running.
   *
   * @return true if there is one
   */
  boolean runsExclusive() {
    return exclusive.stream().anyMatch(running::containsKey);
  }

  /**
   * Returns the unacknowledged bytes of all answers.
   *
   * @return the gauge that the buffers update
   */
  ReplayBuffer.ByteGauge unacknowledged() {
    return unacknowledged;
  }

  /**
   * Returns whether the agent holds no request.
   *
   * @return true if nothing is staged, running or unacknowledged
   */
  boolean isEmpty() {
    return live.isEmpty();
  }
}
