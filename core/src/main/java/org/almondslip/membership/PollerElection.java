package org.almondslip.membership;

import java.util.Collection;
import java.util.List;

/** Election of the instances that poll the table service for a data centre. */
public enum PollerElection {
  /** Elects the instances with the smallest rendezvous hashes that are not leaving. */
  SMALLEST_HASH;

  /** Pollers per data centre. With three, one still polls if one fails and another is slow. */
  public static final int POLLERS = 3;

  private static final RendezvousOrder ORDER = new RendezvousOrder("poller");

  /**
   * Returns the pollers of a data centre.
   *
   * @param members the members of the fleet
   * @param dataCentre the data centre
   * @return the instance ids by ascending hash, at most {@link #POLLERS}
   */
  public List<String> pollers(Collection<Member> members, String dataCentre) {
    return members.stream()
        .filter(member -> member.dataCentre().equals(dataCentre) && !member.leaving())
        .map(Member::instanceId)
        .distinct()
        .sorted(ORDER)
        .limit(POLLERS)
        .toList();
  }

  /**
   * Returns whether an instance is a poller of its data centre.
   *
   * @param members the members of the fleet
   * @param self the instance
   * @return true if the instance is elected
   */
  public boolean isPoller(Collection<Member> members, Member self) {
    return pollers(members, self.dataCentre()).contains(self.instanceId());
  }
}
