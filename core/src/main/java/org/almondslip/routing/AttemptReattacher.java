package org.almondslip.routing;

import java.util.List;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;

/** Continues attempts after a lost connection, and fails them when their agent is lost. */
final class AttemptReattacher {

  private final RouterState state;

  private final RequestFinisher finisher;

  private final AnswerRelay relay;

  AttemptReattacher(RouterState state, RequestFinisher finisher, AnswerRelay relay) {
    this.state = state;
    this.finisher = finisher;
    this.relay = relay;
  }

  /**
   * Continues the attempts of an agent on its new connection, and fails those of an earlier
   * incarnation.
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
   * Detaches the attempts of a closed connection until the agent reconnects.
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
   * Fails attempts whose agent has not reconnected in time, and removes abandoned attempts, since
   * agents need not answer a cancellation.
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
   * Fails attempts at lost agents. All crashes are recorded before any request is retried, so that
   * a request that crashes targets is already suspect at its retry.
   *
   * @param attempts the attempts
   * @param died whether the agents' processes are known to have ended
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
