package org.almondslip.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Role;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides which agents a router connects to.
 *
 * <p>Connections are kept to a limited number of agents per pool, the local region first. Within a
 * region agents are ordered by a hash of router and agent, which spreads the routers over the
 * agents.
 */
public final class DialPlanner {

  /** Default limit of connections per pool. */
  static final int AGENTS_PER_POOL = 16;

  /** Connections by which the limit of a pool is raised when its requests wait. */
  static final int LIMIT_INCREASE = 4;

  /** Maximum limit of connections per pool; bounds heartbeat traffic and memory. */
  static final int MAX_AGENTS_PER_POOL = 64;

  /**
   * Time after the last raise at which the limit of a pool returns to the default, in milliseconds.
   */
  private static final long RAISED_LIMIT_MILLIS = 30_000;

  /** Delay after the first failure, in milliseconds. */
  private static final long FIRST_BACKOFF_MILLIS = 100;

  /** Maximum delay after failures, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 5_000;

  /** Time after which an unanswered dial is repeated, in milliseconds. */
  private static final long DIAL_TIMEOUT_MILLIS = 5_000;

  /** Interval between two planning runs, in milliseconds. */
  private static final long PLAN_INTERVAL_MILLIS = 50;

  private final String instance;

  private final String region;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** Callback that opens a connection to an address. */
  private final Consumer<String> dialler;

  /** Number of open connections by instance; an old and a new one may briefly overlap. */
  private final Map<String, Integer> connected = new HashMap<>();

  /** Dials that failed or have not been answered, by address. */
  private final Map<String, PendingDial> dials = new HashMap<>();

  /** Raised limits by pool. */
  private final Map<String, RaisedLimit> raisedLimits = new HashMap<>();

  /** Agents by target pool in dialling order. */
  private Map<String, List<Member>> agentsByPool = new TreeMap<>();

  private List<Member> members = List.of();

  private Catalog catalog = Catalog.EMPTY;

  /** Time of the next planning run, in milliseconds. */
  private long nextPlanAt;

  /**
   * Dial that has not succeeded.
   *
   * @param failures the number of failures in a row
   * @param notBefore the time of the next try, in milliseconds
   */
  private record PendingDial(int failures, long notBefore) {}

  /**
   * Raised limit of a pool.
   *
   * @param limit the number of connections
   * @param raisedAt the time of the last raise, in milliseconds
   */
  private record RaisedLimit(int limit, long raisedAt) {}

  /**
   * Creates a planner without members.
   *
   * @param instance the instance of this router
   * @param region the region of this router
   * @param random the source of jitter
   * @param dialler the callback that opens a connection to an address
   */
  public DialPlanner(
      String instance, String region, UniformRandomProvider random, Consumer<String> dialler) {
    this.instance = instance;
    this.region = region;
    this.random = random;
    this.dialler = dialler;
  }

  /**
   * Replaces the known members.
   *
   * @param next the members, including routers and leaving ones
   */
  public void onMembers(List<Member> next) {
    members = List.copyOf(next);
    Set<String> addresses = new HashSet<>();
    members.forEach(member -> addresses.add(member.innerAddress()));
    dials.keySet().retainAll(addresses);
    rebuildDialOrder();
  }

  /**
   * Replaces the catalog.
   *
   * @param next the catalog in force
   */
  public void onCatalog(Catalog next) {
    catalog = next;
    rebuildDialOrder();
  }

  /**
   * Records an open connection.
   *
   * @param peer the process at the other end
   */
  public void onOpen(PeerIdentity peer) {
    connected.merge(peer.instanceId(), 1, Integer::sum);
    dials.remove(addressOf(peer));
  }

  /**
   * Records the end of a connection. It is dialled again after a random delay below 100 ms.
   *
   * @param peer the process at the other end
   * @param now the current time, in milliseconds
   */
  public void onClosed(PeerIdentity peer, long now) {
    connected.computeIfPresent(peer.instanceId(), (id, count) -> count > 1 ? count - 1 : null);
    dials.put(addressOf(peer), new PendingDial(0, now + random.nextLong(FIRST_BACKOFF_MILLIS)));
  }

  /**
   * Records a failed dial. The delay doubles with each consecutive failure, up to 5 s, and has
   * jitter.
   *
   * @param address the address
   * @param now the current time, in milliseconds
   */
  public void onDialFailed(String address, long now) {
    PendingDial dial = dials.getOrDefault(address, new PendingDial(0, now));
    long backoff = FIRST_BACKOFF_MILLIS << Math.min(dial.failures(), Byte.SIZE);
    long delay = Math.min(MAX_BACKOFF_MILLIS, backoff);
    long jittered = delay / 2 + random.nextLong(delay / 2 + 1);
    dials.put(address, new PendingDial(dial.failures() + 1, now + jittered));
  }

  /**
   * Raises the limit of connections of a pool whose requests wait.
   *
   * @param pool the pool
   * @param now the current time, in milliseconds
   */
  public void dialMore(String pool, long now) {
    int limit = Math.min(MAX_AGENTS_PER_POOL, limitOf(pool, now) + LIMIT_INCREASE);
    raisedLimits.put(pool, new RaisedLimit(limit, now));
  }

  /**
   * Dials the agents that should be connected and are not.
   *
   * @param now the current time, in milliseconds
   */
  public void onTick(long now) {
    if (now < nextPlanAt) {
      return;
    }
    nextPlanAt = now + PLAN_INTERVAL_MILLIS;
    agentsByPool.forEach(
        (pool, agents) -> {
          int limit = Math.min(agents.size(), limitOf(pool, now));
          agents.subList(0, limit).forEach(agent -> dial(agent, now));
        });
  }

  /**
   * Dials an agent unless it is connected, being dialled or in backoff.
   *
   * @param agent the agent
   * @param now the current time, in milliseconds
   */
  private void dial(Member agent, long now) {
    PendingDial dial = dials.getOrDefault(agent.innerAddress(), new PendingDial(0, now));
    if (!connected.containsKey(agent.instanceId()) && dial.notBefore() <= now) {
      dials.put(agent.innerAddress(), new PendingDial(dial.failures(), now + DIAL_TIMEOUT_MILLIS));
      dialler.accept(agent.innerAddress());
    }
  }

  /**
   * Returns the current limit of connections of a pool.
   *
   * @param pool the pool
   * @param now the current time, in milliseconds
   * @return the number
   */
  private int limitOf(String pool, long now) {
    RaisedLimit raised = raisedLimits.get(pool);
    if (raised == null || now - raised.raisedAt() >= RAISED_LIMIT_MILLIS) {
      return AGENTS_PER_POOL;
    }
    return raised.limit();
  }

  /**
   * Returns the address at which a process is dialled. It can differ from the address that the
   * process advertises when there is a relay between regions.
   *
   * @param peer the process
   * @return the address in the member list, or the advertised one when the process is not a member
   */
  private String addressOf(PeerIdentity peer) {
    return members.stream()
        .filter(member -> member.instanceId().equals(peer.instanceId()))
        .map(Member::innerAddress)
        .findFirst()
        .orElse(peer.innerAddress());
  }

  /** Rebuilds the dialling order of the usable agents of each pool. */
  private void rebuildDialOrder() {
    Map<String, List<Member>> next = new TreeMap<>();
    for (Member member : members) {
      if (member.role() == Role.AGENT && !member.leaving()) {
        poolOf(member)
            .ifPresent(pool -> next.computeIfAbsent(pool, key -> new ArrayList<>()).add(member));
      }
    }
    Comparator<Member> order =
        Comparator.<Member, Boolean>comparing(member -> !member.region().equals(region))
            .thenComparing(member -> dialOrderHash(member.instanceId()));
    next.values().forEach(agents -> agents.sort(order));
    agentsByPool = next;
  }

  /**
   * Returns the pool for which an agent is dialled. Without a catalog all agents form one pool,
   * since a router that starts while the table service is down receives its catalog from agents.
   *
   * @param agent the agent
   * @return the pool, or empty when the agent needs no connection
   */
  private Optional<String> poolOf(Member agent) {
    if (catalog.revision() == 0) {
      return Optional.of("");
    }
    return catalog
        .target(agent.target())
        .filter(target -> target.state() == Target.State.ACTIVE)
        .map(Target::pool);
  }

  /**
   * Returns the sort key of an agent in the dialling order of this router.
   *
   * @param agent the instance of the agent
   * @return a hash of both instances
   */
  private int dialOrderHash(String agent) {
    byte[] both = (instance + "/" + agent).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(both, 0, both.length, 0);
  }
}
