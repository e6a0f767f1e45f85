package org.almondslip.routing;

import java.util.List;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;

/** Keeps attempts alive over the loss of a connection, and gives them up when an agent is lost. */
final class AttemptReattacher {

  /** State of the router's requests. */
  private final RouterState state;

  /** Ends of attempts and requests. */
  private final RequestFinisher finisher;

  /** Answers to callers. */
  private final AnswerRelay relay;

  /**
   * Creates the reattachment of a router.
   *
   * @param state the state of the router's requests
   * @param finisher the ends of attempts and requests
   * @param relay the answers to callers
   */
  AttemptReattacher(RouterState state, RequestFinisher finisher, AnswerRelay relay) {
    this.state = state;
    this.finisher = finisher;
    this.relay = relay;
  }

  /**
   * Continues the attempts of an agent on its new connection, or gives them up when the agent has
   * started anew.
   *
   * @param link the new connection
   * @param now the current time, in milliseconds
   */
  void onOpen(AgentLink link, long now) {
    PeerIdentity agent = link.peer().peer();
    List<Attempt> attempts =
        state
            .inFlight()
            .matching(attempt -> attempt.agent().instanceId().equals(agent.instanceId()));
    for (Attempt attempt : attempts) {
      if (attempt.agent().incarnation() == agent.incarnation()) {
        attempt.moveTo(link.peer().id());
        state.counters().count(RoutingCounters.Event.REATTACH);
        if (attempt.abandoned()) {
          finisher.sendCancel(attempt);
        } else {
          relay.attach(link, attempt);
        }
      }
    }
    failAttempts(
        attempts.stream()
            .filter(attempt -> attempt.agent().incarnation() != agent.incarnation())
            .toList(),
        true,
        now);
  }

  /**
   * Keeps the attempts of a connection that has ended until it comes back.
   *
   * @param peer the connection
   * @param byPeer whether the other side ended it, which indicates that its process has ended
   * @param now the current time, in milliseconds
   */
  void onClosed(Peer peer, boolean byPeer, long now) {
    for (Attempt attempt : state.inFlight().matching(other -> other.connection() == peer.id())) {
      attempt.detach(now, byPeer);
    }
  }

  /**
   * Gives up attempts whose connection has not come back in time, and forgets cancelled ones.
   * Agents need not answer a cancellation.
   *
   * @param now the current time, in milliseconds
   */
  void onTick(long now) {
    long limit = state.settings().reattachMillis();
    state
        .inFlight()
        .matching(attempt -> attempt.abandonedFor(now, limit))
        .forEach(state.inFlight()::remove);
    failAttempts(state.inFlight().matching(attempt -> attempt.lostFor(now, limit)), false, now);
  }

  /**
   * Gives up attempts at lost agents. All crash marks are given before any request is tried again,
   * so that a request that ends targets is already suspected then.
   *
   * @param attempts the attempts
   * @param died whether the agents have certainly ended
   * @param now the current time, in milliseconds
   */
  private void failAttempts(List<Attempt> attempts, boolean died, long now) {
    for (Attempt attempt : attempts) {
      if (died || attempt.agentDied()) {
        state.suspects().onCrash(attempt.pending().fingerprint(), attempt.agent());
      }
    }
    if (!attempts.isEmpty()) {
      finisher.refuseCrashingRequests(now);
      attempts.forEach(attempt -> finisher.failLostAgent(attempt, now));
    }
  }
}
