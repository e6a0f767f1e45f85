package org.almondslip.agent;

import java.util.ArrayList;
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
import org.almondslip.order.AgentLiveness;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/** Manages connections to other agents: dials the digest tree peers and sends digest frames. */
final class AgentConnections implements DigestNode.Effects, AgentLiveness {

  /** This agent, which the fleet view does not list among its members. */
  private final Member self;

  /** Catalog and members of the fleet. */
  private final FleetView fleet;

  /** Backoff schedule of connection attempts. */
  private final DialSchedule schedule;

  /** Opens a connection to an address. */
  private final Consumer<String> dial;

  /** Announcement to the routers. */
  private final Announcer announcer;

  /** Open connections to agents, by instance and connection identifier. */
  private final Map<String, Map<Long, PeerConnection>> agents = new HashMap<>();

  /** Members last passed to the digest node. */
  private List<Member> lastMembers = List.of();

  /** Whether members were passed on once; an agent without other members is its own root. */
  private boolean membersReported;

  /**
   * Creates a manager without connections.
   *
   * @param self this agent
   * @param fleet the catalog and members of the fleet
   * @param schedule the backoff schedule of connection attempts
   * @param dial opens a connection to an address
   * @param announcer the announcement to the routers
   */
  AgentConnections(
      Member self,
      FleetView fleet,
      DialSchedule schedule,
      Consumer<String> dial,
      Announcer announcer) {
    this.self = self;
    this.fleet = fleet;
    this.schedule = schedule;
    this.dial = dial;
    this.announcer = announcer;
  }

  /**
   * Handles a new connection.
   *
   * @param connection the connection
   * @param digest the node of the digest tree
   * @return false if the connection only served to announce this agent
   */
  boolean onOpen(PeerConnection connection, DigestNode digest) {
    if (connection.dialled()) {
      schedule.onOpen(connection.peer().innerAddress());
    }
    if (connection.peer().role() == Role.ROUTER && connection.dialled()) {
      announcer.onOpen(connection);
      return false;
    }
    fleet.onPeerOpen(connection);
    if (connection.peer().role() == Role.AGENT) {
      agents
          .computeIfAbsent(connection.peer().instanceId(), id -> new HashMap<>())
          .put(connection.id(), connection);
      digest.onPeerOpen(connection.peer());
    }
    return true;
  }

  /**
   * Handles the close of a connection.
   *
   * @param connection the connection
   * @param digest the node of the digest tree
   */
  void onClose(PeerConnection connection, DigestNode digest) {
    if (connection.dialled()) {
      schedule.onEnd(connection.peer().innerAddress());
    }
    fleet.onPeerClosed(connection);
    String instance = connection.peer().instanceId();
    Map<Long, PeerConnection> open = agents.getOrDefault(instance, new HashMap<>());
    if (open.remove(connection.id()) != null && open.isEmpty()) {
      agents.remove(instance);
      digest.onPeerClosed(instance);
    }
  }

  /**
   * Handles a failed connection attempt.
   *
   * @param address the remote address as {@code ip:port}
   * @param digest the node of the digest tree
   */
  void onDialFailed(String address, DigestNode digest) {
    schedule.onEnd(address);
    for (Member member : lastMembers) {
      boolean unreachable =
          member.innerAddress().equals(address) && !agents.containsKey(member.instanceId());
      if (unreachable && member.role() == Role.AGENT) {
        digest.onPeerClosed(member.instanceId());
      }
    }
  }

  /**
   * Updates the digest node with changed members and dials missing peers.
   *
   * @param digest the node of the digest tree
   */
  void onTick(DigestNode digest) {
    List<Member> members = fleet.members();
    if (!membersReported || !members.equals(lastMembers)) {
      membersReported = true;
      lastMembers = members;
      List<Member> all = new ArrayList<>(members);
      all.add(self);
      digest.onMembers(all);
    }
    if (fleet.membership().isLoaded()) {
      announcer.onMembers(members);
    }
    announcer.onTick();
    Set<String> dialAddresses = new HashSet<>(announcer.addresses());
    for (String instance : digest.peersToDial()) {
      addressOf(instance).ifPresent(dialAddresses::add);
      if (!agents.containsKey(instance)) {
        addressOf(instance).filter(schedule::tryDial).ifPresent(dial);
      }
    }
    schedule.retain(dialAddresses);
  }

  @Override
  public void send(String instanceId, Frame frame) {
    agents.getOrDefault(instanceId, Map.of()).values().stream()
        .findFirst()
        .ifPresent(connection -> connection.send(frame));
  }

  @Override
  public boolean hasEnded(String instance, long incarnation) {
    Optional<Long> connected =
        agents.getOrDefault(instance, Map.of()).values().stream()
            .map(connection -> connection.peer().incarnation())
            .findFirst();
    if (connected.isPresent()) {
      return connected.get() > incarnation;
    }
    return fleet.membership().isLoaded() && fleet.membership().member(instance).isEmpty();
  }

  /**
   * Returns the address of an instance.
   *
   * @param instance the instance
   * @return the address, or empty if the instance is unknown
   */
  private Optional<String> addressOf(String instance) {
    return fleet.membership().member(instance).map(Member::innerAddress);
  }
}
