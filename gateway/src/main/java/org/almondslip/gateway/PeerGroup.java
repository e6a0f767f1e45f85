package org.almondslip.gateway;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.report.ReportWriter;

/** Routers that receive the same load reports at the same interval. */
final class PeerGroup {

  private final ReportWriter writer;

  /** Addresses by the names of the instances. */
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();

  /**
   * Creates an empty group.
   *
   * @param writer writes the reports to this group, and to no other one
   */
  PeerGroup(ReportWriter writer) {
    this.writer = writer;
  }

  ReportWriter writer() {
    return writer;
  }

  /** Returns the addresses of the routers. */
  Collection<InetSocketAddress> addresses() {
    return addresses.values();
  }

  /** Returns the names of the instances. */
  Collection<String> names() {
    return addresses.keySet();
  }

  /** Returns the address of a router, empty if it is not in this group. */
  Optional<InetSocketAddress> address(String name) {
    return Optional.ofNullable(addresses.get(name));
  }

  void put(String name, InetSocketAddress address) {
    addresses.put(name, address);
  }

  void remove(String name) {
    addresses.remove(name);
  }
}
