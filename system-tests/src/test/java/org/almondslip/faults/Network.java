package org.almondslip.faults;

import java.util.HashSet;
import java.util.Set;
import org.almondslip.protocol.wire.Frame;

/** Delays and cuts between processes, and a hook that sees every frame when it is sent. */
final class Network {

  private final Set<String> cuts = new HashSet<>();
  private Observer observer = (from, to, frame) -> {};
  private long delayMillis = 1;

  /** Sees every frame when it is sent. */
  @FunctionalInterface
  interface Observer {

    void onSent(Node from, Node to, Frame frame);
  }

  void observe(Node from, Node to, Frame frame) {
    observer.onSent(from, to, frame);
  }

  void setObserver(Observer next) {
    observer = next;
  }

  long delayMillis() {
    return delayMillis;
  }

  void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  boolean cut(Node from, Node to) {
    return cuts.contains(from.instanceId() + ">" + to.instanceId());
  }

  void cutOneWay(Node from, Node to) {
    cuts.add(from.instanceId() + ">" + to.instanceId());
  }

  void heal() {
    cuts.clear();
  }
}
