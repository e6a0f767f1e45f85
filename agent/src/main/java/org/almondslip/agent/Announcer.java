package org.almondslip.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.almondslip.membership.DialSchedule;
import org.almondslip.membership.Member;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/** Announces a starting agent once to each router in the instance list. */
final class Announcer {

  /** Connection attempts per router; a router that is missed reads the agent from the list. */
  private static final int MAX_DIAL_ATTEMPTS = 4;

  /** Backoff schedule of connection attempts. */
  private final DialSchedule schedule;

  /** Opens a connection to an address. */
  private final Consumer<String> dial;

  /** Builds the announcement. */
  private final Supplier<Announce> announcement;

  /** Connection attempts so far to routers not yet notified, by address. */
  private final Map<String, Integer> pendingRouters = new HashMap<>();

  /** Whether the first instance list has been received. */
  private boolean listReceived;

  /**
   * Creates an announcer without routers.
   *
   * @param schedule the backoff schedule of connection attempts
   * @param dial opens a connection to an address
   * @param announcement builds the announcement
   */
  Announcer(DialSchedule schedule, Consumer<String> dial, Supplier<Announce> announcement) {
    this.schedule = schedule;
    this.dial = dial;
    this.announcement = announcement;
  }

  /**
   * Registers the routers of the first list of members; later lists are ignored.
   *
   * @param members the members of the fleet
   */
  void onMembers(List<Member> members) {
    if (!listReceived) {
      listReceived = true;
      members.stream()
          .filter(member -> member.role() == Role.ROUTER)
          .forEach(member -> pendingRouters.put(member.innerAddress(), 0));
    }
  }

  /** Dials the routers whose backoff has elapsed. */
  void onTick() {
    for (String address : List.copyOf(pendingRouters.keySet())) {
      if (pendingRouters.get(address) >= MAX_DIAL_ATTEMPTS) {
        pendingRouters.remove(address);
      } else if (schedule.tryDial(address)) {
        pendingRouters.merge(address, 1, Integer::sum);
        dial.accept(address);
      }
    }
  }

  /**
   * Sends the announcement on a connection to a router and closes it.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection) {
    pendingRouters.remove(connection.peer().innerAddress());
    connection.send(Frame.newBuilder().setAnnounce(announcement.get()).build());
    connection.close();
  }

  /**
   * Returns the addresses of the routers that are not yet notified.
   *
   * @return the addresses
   */
  Set<String> addresses() {
    return pendingRouters.keySet();
  }
}
