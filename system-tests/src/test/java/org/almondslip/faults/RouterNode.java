package org.almondslip.faults;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.routing.Outcome;
import org.almondslip.routing.RouterEffects;
import org.almondslip.routing.RouterLogic;
import org.almondslip.routing.RoutingSettings;
import org.apache.commons.rng.simple.RandomSource;

/** A router process around the real decisions, with callers that take their answers at once. */
final class RouterNode extends Node {

  private final PeerIdentity identity;
  private final RouterLogic logic;
  private final History history;
  private final Timeline timeline;
  private final Map<Long, Link.End> ends = new HashMap<>();

  RouterNode(String name, long incarnation, Timeline timeline, History history, Catalog catalog) {
    super(name);
    this.identity =
        new PeerIdentity(name, incarnation, Role.ROUTER, "seoul", "seoul-1", "127.0.0.1:1", "");
    this.history = history;
    this.timeline = timeline;
    this.logic =
        new RouterLogic(
            incarnation,
            "seoul",
            RoutingSettings.DEFAULT,
            new SuspectRegistry(),
            timeline.clock(),
            RandomSource.SPLIT_MIX_64.create(incarnation),
            new Callers());
    logic.onCatalog(catalog);
  }

  PeerIdentity identity() {
    return identity;
  }

  RouterLogic logic() {
    return logic;
  }

  void submit(long number, String organisation, Workload.Kind kind, String body) {
    history.submit(number, kind, body, this);
    run(() -> logic.onRequest(Workload.request(number, organisation, kind, body)));
  }

  @Override
  void onTick() {
    logic.onTick();
  }

  @Override
  void onOpen(Link.End end) {
    ends.put(end.id(), end);
    logic.onPeerOpen(end);
  }

  @Override
  void onClose(Link.End end, boolean byPeer) {
    ends.remove(end.id());
    logic.onPeerClosed(end, byPeer);
  }

  @Override
  void onFrame(Link.End end, Frame frame) {
    logic.onFrame(end, frame);
  }

  @Override
  Heartbeat heartbeat() {
    return Heartbeat.getDefaultInstance();
  }

  /** Callers of this router. */
  private final class Callers implements RouterEffects {

    @Override
    public void head(long caller, AnswerHead head) {
      history.onHead(caller);
    }

    @Override
    public void data(long caller, ByteString data) {
      history.onData(caller, data);
      timeline.after(1, () -> run(() -> logic.onConsumed(caller, data.size())));
    }

    @Override
    public void end(long caller, Outcome outcome) {
      history.onEnd(caller, outcome);
    }

    @Override
    public void dialMore(String pool) {}

    @Override
    public void recordSuspect(SuspectNotice notice) {}
  }
}
