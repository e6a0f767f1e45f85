package org.almondslip.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.almondslip.accounting.DigestNode;
import org.almondslip.membership.DialSchedule;
import org.almondslip.membership.Member;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/**
 * Connections that an agent opens: to its neighbours in the digest tree, which stay open, and one
 * to each router, on which it announces itself.
 *
 * <p>All methods are called on the decision thread.
 */
final class FleetLinks {

  /** Catalog and members. */
  private final FleetView view;

  /** Times of dials. */
  private final DialSchedule schedule;

  /** Opens a connection to an address. */
  private final Consumer<String> dialler;

  /** Open connections to other agents; two agents may have dialled each other at the same time. */
  private final Map<String, PeerConnection> agents = new HashMap<>();

  /** Instances by the address that was dialled. */
  private final Map<String, String> dialled = new HashMap<>();

  /** Routers that know this agent. */
  private final Set<String> announced = new HashSet<>();

  /** Members that the digests know. */
  private List<Member> members = List.of();

  /**
   * Creates the state before the first connection.
   *
   * @param view the catalog and the members
   * @param schedule the times of dials
   * @param dialler opens a connection to an address
   */
  FleetLinks(FleetView view, DialSchedule schedule, Consumer<String> dialler) {
    this.view = view;
    this.schedule = schedule;
    this.dialler = dialler;
  }

  /**
   * Sends a frame to another agent. It is dropped when there is no connection.
   *
   * @param instanceId the agent
   * @param frame the frame
   */
  void send(String instanceId, Frame frame) {
    Optional.ofNullable(agents.get(instanceId)).ifPresent(connection -> connection.send(frame));
  }

  /**
   * Dials what is missing.
   *
   * @param digests the digest waves, which get the members
   */
  void onTick(DigestNode digests) {
    view.onTick();
    if (view.members() != members) {
      members = view.members();
      digests.onMembers(members);
    }
    for (String neighbour : digests.peersToDial()) {
      if (!agents.containsKey(neighbour)) {
        view.membership().member(neighbour).ifPresent(this::dial);
      }
    }
    for (Member member : members) {
      if (member.role() == Role.ROUTER && !announced.contains(member.instanceId())) {
        dial(member);
      }
    }
  }

  /**
   * Notes a connection that stays open.
   *
   * @param connection the connection
   * @param digests the digest waves
   */
  void onOpen(PeerConnection connection, DigestNode digests) {
    view.onPeerOpen(connection);
    if (connection.peer().role() == Role.AGENT) {
      agents.put(connection.peer().instanceId(), connection);
      digests.onPeerOpen(connection.peer());
      if (connection.dialled()) {
        addressOf(connection.peer().instanceId()).ifPresent(schedule::onOpen);
      }
    }
  }

  /**
   * Notes that a router knows this agent. A router that restarts dials by itself.
   *
   * @param instanceId the router
   */
  void onAnnounced(String instanceId) {
    announced.add(instanceId);
  }

  /**
   * Notes that a connection has ended.
   *
   * @param connection the connection
   * @param digests the digest waves
   */
  void onClose(PeerConnection connection, DigestNode digests) {
    view.onPeerClosed(connection);
    String instanceId = connection.peer().instanceId();
    if (connection.dialled()) {
      addressOf(instanceId).ifPresent(schedule::onEnd);
    }
    if (agents.remove(instanceId, connection)) {
      digests.onPeerClosed(instanceId);
    }
  }

  /**
   * Notes that a dial has failed.
   *
   * @param address the address
   * @param digests the digest waves
   */
  void onDialFailed(String address, DigestNode digests) {
    schedule.onEnd(address);
    Optional.ofNullable(dialled.get(address))
        .filter(instanceId -> !agents.containsKey(instanceId))
        .ifPresent(digests::onPeerClosed);
  }

  /**
   * Dials a member if its address may be dialled now.
   *
   * @param member the member
   */
  private void dial(Member member) {
    if (schedule.tryDial(member.innerAddress())) {
      dialled.put(member.innerAddress(), member.instanceId());
      dialler.accept(member.innerAddress());
    }
  }

  /**
   * Returns the address at which an instance was dialled. It may differ from the address that the
   * instance gives itself.
   *
   * @param instanceId the instance
   * @return the address, or empty when it was not dialled
   */
  private Optional<String> addressOf(String instanceId) {
    return view.membership().member(instanceId).map(Member::innerAddress);
  }
}
