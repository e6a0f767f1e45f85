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

/** Connections to other agents: dials the parent in the digest tree and carries digest frames. */
final class FleetLinks implements DigestNode.Effects, AgentLiveness {

  /** This agent, which the members of the fleet view leave out. */
  private final Member self;

  /** Catalog and members of the fleet. */
  private final FleetView fleet;

  /** Times at which addresses may be dialled. */
  private final DialSchedule schedule;

  /** Opens a connection to an address. */
  private final Consumer<String> dial;

  /** Announcement to the routers. */
  private final Announcer announcer;

  /** Open connections to agents, by instance and number. */
  private final Map<String, Map<Long, PeerConnection>> agents = new HashMap<>();

  /** Members as they were last passed on. */
  private List<Member> known = List.of();

  /** Whether members have been passed on; an agent alone in the fleet is its own root. */
  private boolean passedOn;

  /**
   * Creates links without connections.
   *
   * @param self this agent
   * @param fleet the catalog and members of the fleet
   * @param schedule the times at which addresses may be dialled
   * @param dial opens a connection to an address
   * @param announcer the announcement to the routers
   */
  FleetLinks(
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
   * Takes a new connection.
   *
   * @param connection the connection
   * @param digest the node of the digest tree
   * @return false when the connection only served to announce this agent
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
   * Takes the end of a connection.
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
   * Takes the failure of a dial.
   *
   * @param address the address that was dialled
   * @param digest the node of the digest tree
   */
  void onDialFailed(String address, DigestNode digest) {
    schedule.onEnd(address);
    for (Member member : known) {
      boolean unreachable =
          member.innerAddress().equals(address) && !agents.containsKey(member.instanceId());
      if (unreachable && member.role() == Role.AGENT) {
        digest.onPeerClosed(member.instanceId());
      }
    }
  }

  /**
   * Passes on new members and dials what is missing.
   *
   * @param digest the node of the digest tree
   */
  void onTick(DigestNode digest) {
    List<Member> members = fleet.members();
    if (!passedOn || !members.equals(known)) {
      passedOn = true;
      known = members;
      List<Member> all = new ArrayList<>(members);
      all.add(self);
      digest.onMembers(all);
    }
    if (fleet.membership().isLoaded()) {
      announcer.onMembers(members);
    }
    announcer.onTick();
    Set<String> wanted = new HashSet<>(announcer.addresses());
    for (String instance : digest.peersToDial()) {
      addressOf(instance).ifPresent(wanted::add);
      if (!agents.containsKey(instance)) {
        addressOf(instance).filter(schedule::tryDial).ifPresent(dial);
      }
    }
    schedule.retain(wanted);
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
   * @return the address, or empty when the instance is unknown
   */
  private Optional<String> addressOf(String instance) {
    return fleet.membership().member(instance).map(Member::innerAddress);
  }
}
