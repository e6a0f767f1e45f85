package org.almondslip.routing;

import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.RequestId;

/** One dispatch of a request to an agent. */
final class Attempt {

  /** Identity of this dispatch in the whole fleet. */
  private final RequestId id;

  /** Request that is attempted. */
  private final PendingRequest pending;

  /** Agent that got the dispatch. */
  private final PeerIdentity agent;

  /** Progress of the answer. */
  private final AnswerWindow window = new AnswerWindow();

  /** Number of the connection, 0 while it is lost. */
  private long connection;

  /** Time at which the connection was lost, in milliseconds. */
  private long lostAt;

  /** Whether the loss indicates that the agent's process has ended. */
  private boolean agentDied;

  /** Whether the caller no longer waits for the answer. */
  private boolean abandoned;

  /** Time since which the caller no longer waits, in milliseconds. */
  private long abandonedAt;

  /**
   * Creates an attempt.
   *
   * @param id the identity of the dispatch
   * @param pending the request
   * @param agent the agent
   * @param connection the number of the connection
   */
  Attempt(RequestId id, PendingRequest pending, PeerIdentity agent, long connection) {
    this.id = id;
    this.pending = pending;
    this.agent = agent;
    this.connection = connection;
  }

  /**
   * Returns the identity of the dispatch.
   *
   * @return the identity
   */
  RequestId id() {
    return id;
  }

  /**
   * Returns the request.
   *
   * @return the request
   */
  PendingRequest pending() {
    return pending;
  }

  /**
   * Returns the agent that got the dispatch.
   *
   * @return its identity
   */
  PeerIdentity agent() {
    return agent;
  }

  /**
   * Returns the target beside the agent.
   *
   * @return the name of the target
   */
  String target() {
    return agent.target();
  }

  /**
   * Returns the progress of the answer.
   *
   * @return the window
   */
  AnswerWindow window() {
    return window;
  }

  /**
   * Returns the connection of the attempt.
   *
   * @return the number of the connection, 0 while it is lost
   */
  long connection() {
    return connection;
  }

  /**
   * Moves the attempt to another connection.
   *
   * @param number the number of the connection
   */
  void moveTo(long number) {
    connection = number;
  }

  /**
   * Notes that the connection was lost.
   *
   * @param now the current time, in milliseconds
   * @param died whether the loss indicates that the agent's process has ended
   */
  void detach(long now, boolean died) {
    connection = 0;
    lostAt = now;
    agentDied = died;
  }

  /**
   * Returns whether the connection has been lost for some time.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when it is lost for at least that time
   */
  boolean lostFor(long now, long limitMillis) {
    return connection == 0 && now - lostAt >= limitMillis;
  }

  /**
   * Returns whether the loss of the connection indicates that the agent's process has ended.
   *
   * @return true when it does
   */
  boolean agentDied() {
    return agentDied;
  }

  /**
   * Returns whether the caller no longer waits for the answer.
   *
   * @return true when it does not
   */
  boolean abandoned() {
    return abandoned;
  }

  /**
   * Notes that the caller no longer waits for the answer.
   *
   * @param now the current time, in milliseconds
   */
  void abandon(long now) {
    abandoned = true;
    abandonedAt = now;
  }

  /**
   * Returns whether the caller has not waited for the answer for some time.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when the attempt was abandoned at least that time ago
   */
  boolean abandonedFor(long now, long limitMillis) {
    return abandoned && now - abandonedAt >= limitMillis;
  }
}
