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

/** Requests that the agent holds: staged, running, and ended but not acknowledged. */
final class Workload {

  /** All requests by identity. */
  private final Map<RequestKey, Request> live = new HashMap<>();

  /** Requests that hold a slot, by token. */
  private final Map<Long, Request> running = new LinkedHashMap<>();

  /** Requests that wait for a slot, in the order of their dispatch. */
  private final Deque<Request> staged = new ArrayDeque<>();

  /** Staged and running requests that must run alone. */
  private final Set<Long> exclusive = new HashSet<>();

  /** How many requests to grant ahead. */
  private final PrefetchWindow prefetch = new PrefetchWindow();

  /** Unacknowledged bytes of all answers. */
  private final ReplayBuffer.ByteGauge unacknowledged = new ReplayBuffer.ByteGauge();

  /**
   * Adds a request to the stage.
   *
   * @param request the request
   */
  void stage(Request request) {
    live.put(request.key(), request);
    staged.addLast(request);
  }

  /**
   * Moves the first staged request to a slot.
   *
   * @return the request
   */
  Request takeHead() {
    Request request = staged.removeFirst();
    running.put(request.token(), request);
    return request;
  }

  /**
   * Notes that a request must run alone.
   *
   * @param token the request
   */
  void markExclusive(long token) {
    exclusive.add(token);
  }

  /**
   * Frees the slot or the place in the stage of a request.
   *
   * @param request the request
   * @return true when it had to run alone
   */
  boolean leave(Request request) {
    if (running.remove(request.token()) == null) {
      staged.remove(request);
    }
    return exclusive.remove(request.token());
  }

  /**
   * Forgets a request that has ended.
   *
   * @param request the request
   */
  void forget(Request request) {
    live.remove(request.key());
    request.answer().buffer().clear();
  }

  /**
   * Finds a request.
   *
   * @param key the identity in the fleet
   * @return the request, or empty when the agent does not hold it
   */
  Optional<Request> find(RequestKey key) {
    return Optional.ofNullable(live.get(key));
  }

  /**
   * Finds a request that holds a slot.
   *
   * @param token the identity at this agent
   * @return the request, or empty when it holds no slot
   */
  Optional<Request> running(long token) {
    return Optional.ofNullable(running.get(token));
  }

  /**
   * Returns the first staged request.
   *
   * @return the request, or empty when the stage is empty
   */
  Optional<Request> head() {
    return Optional.ofNullable(staged.peekFirst());
  }

  /**
   * Returns the requests that hold a slot.
   *
   * @return a copy of the list
   */
  List<Request> runningRequests() {
    return List.copyOf(running.values());
  }

  /**
   * Returns the requests that wait for a slot.
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
   * Returns the measure of how many requests to grant ahead.
   *
   * @return the measure
   */
  PrefetchWindow prefetch() {
    return prefetch;
  }

  /**
   * Returns the number of requests that hold a slot.
   *
   * @return the number
   */
  int runningCount() {
    return running.size();
  }

  /**
   * Returns the number of requests that wait for a slot.
   *
   * @return the number
   */
  int stagedCount() {
    return staged.size();
  }

  /**
   * Returns whether a request that must run alone is staged or running.
   *
   * @return true when there is one
   */
  boolean hasExclusive() {
    return !exclusive.isEmpty();
  }

  /**
   * Returns whether a request that must run alone is running.
   *
   * @return true when there is one
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
   * @return true when nothing is staged, running or unacknowledged
   */
  boolean isEmpty() {
    return live.isEmpty();
  }
}
