package org.almondslip.routing;

import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.RequestId;

/** Attempt to run a request: one dispatch to an agent. */
final class Attempt {

  /** Identity of this dispatch, unique in the fleet. */
  private final RequestId id;

  private final PendingRequest pending;

  private final PeerIdentity agent;

  /** Progress of the answer. */
  private final AnswerWindow window = new AnswerWindow();

  /** Id of the connection, 0 while it is lost. */
  private long connection;

  /** Time at which the connection was lost, in milliseconds. */
  private long lostAt;

  /** Whether the connection loss indicates that the agent's process has ended. */
  private boolean agentDied;

  /** Whether the caller no longer waits for the answer. */
  private boolean abandoned;

  /** Time at which the attempt was abandoned, in milliseconds. */
  private long abandonedAt;

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
   * Returns the target that the agent serves.
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
   * @return the id of the connection, 0 while it is lost
   */
  long connection() {
    return connection;
  }

  /**
   * Moves the attempt to another connection.
   *
   * @param number the id of the connection
   */
  void moveTo(long number) {
    connection = number;
  }

  /**
   * Records the loss of the connection.
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
   * Returns whether the connection has been lost for a given time.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when it was lost at least that long ago
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
   * Records that the caller no longer waits for the answer.
   *
   * @param now the current time, in milliseconds
   */
  void abandon(long now) {
    abandoned = true;
    abandonedAt = now;
  }

  /**
   * Returns whether the attempt was abandoned a given time ago.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when it was abandoned at least that long ago
   */
  boolean abandonedFor(long now, long limitMillis) {
    return abandoned && now - abandonedAt >= limitMillis;
  }
}
