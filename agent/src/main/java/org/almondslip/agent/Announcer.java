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

/** Announces a starting agent to every router in the instance list, once. */
final class Announcer {

  /** Dials to one router after which it is given up; it also finds the agent in the list. */
  private static final int MAX_DIALS = 4;

  /** Times at which addresses may be dialled. */
  private final DialSchedule schedule;

  /** Opens a connection to an address. */
  private final Consumer<String> dial;

  /** Builds the announcement. */
  private final Supplier<Announce> announcement;

  /** Routers that have not been told, by address, with the dials so far. */
  private final Map<String, Integer> waiting = new HashMap<>();

  /** Whether the routers of the list are known. */
  private boolean listed;

  /**
   * Creates an announcer that knows no router.
   *
   * @param schedule the times at which addresses may be dialled
   * @param dial opens a connection to an address
   * @param announcement builds the announcement
   */
  Announcer(DialSchedule schedule, Consumer<String> dial, Supplier<Announce> announcement) {
    this.schedule = schedule;
    this.dial = dial;
    this.announcement = announcement;
  }

  /**
   * Takes the first list of members; later ones are ignored.
   *
   * @param members the members of the fleet
   */
  void onMembers(List<Member> members) {
    if (!listed) {
      listed = true;
      members.stream()
          .filter(member -> member.role() == Role.ROUTER)
          .forEach(member -> waiting.put(member.innerAddress(), 0));
    }
  }

  /** Dials the routers that are due. */
  void onTick() {
    for (String address : List.copyOf(waiting.keySet())) {
      if (waiting.get(address) >= MAX_DIALS) {
        waiting.remove(address);
      } else if (schedule.tryDial(address)) {
        waiting.merge(address, 1, Integer::sum);
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
    waiting.remove(connection.peer().innerAddress());
    connection.send(Frame.newBuilder().setAnnounce(announcement.get()).build());
    connection.close();
  }

  /**
   * Returns the addresses that are still to be dialled.
   *
   * @return the addresses
   */
  Set<String> addresses() {
    return waiting.keySet();
  }
}
