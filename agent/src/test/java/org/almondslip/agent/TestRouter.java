package org.almondslip.agent;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.PeerTransport;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.protocol.TransportSettings;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.Role;

/** Fake peer that records received frames and serves a fixed catalog. */
final class TestRouter implements PeerListener, AutoCloseable {

  private static final long TIMEOUT_SECONDS = 30;

  /** Catalog with one target that has two slots, and one organisation. */
  private static final Catalog CATALOG =
      Catalog.EMPTY.merge(
          List.of(
              new VersionedObject(
                  new CatalogObject.Target("t1", "pool", null, 2, null, null, List.of()), 1, 1),
              new VersionedObject(new CatalogObject.Organisation("acme", List.of("pool")), 1, 1)),
          1);

  final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

  private final CompletableFuture<PeerConnection> connection = new CompletableFuture<>();

  private final PeerTransport transport;

  TestRouter(String secret, String instance, Role role) {
    PeerIdentity self = new PeerIdentity(instance, 1, role, "r", "d", "127.0.0.1:0", "");
    transport =
        new PeerTransport(
            self,
            TransportSettings.of(secret).withIntervals(100, 10_000),
            () -> Heartbeat.newBuilder().setCatalogRevision(CATALOG.revision()).build(),
            this,
            new TrafficCounters());
  }

  String listen() {
    return transport.listen();
  }

  void dial(String address) {
    transport.dial(address);
  }

  void send(Frame frame) {
    connection.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join().send(frame);
  }

  void ack(long sequence, long next) {
    RequestId.Builder id = RequestId.newBuilder().setRouterIncarnation(1).setSequence(sequence);
    AnswerAck.Builder ack = AnswerAck.newBuilder().setRequestId(id).setNextSequence(next);
    send(Frame.newBuilder().setAnswerAck(ack).build());
  }

  /** Skips frames until one matches. */
  Frame await(Predicate<Frame> wanted) throws InterruptedException {
    while (true) {
      Frame frame = frames.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (frame == null) {
        throw new AssertionError("the expected frame did not arrive");
      }
      if (wanted.test(frame)) {
        return frame;
      }
    }
  }

  AnswerEnd awaitEnd() throws InterruptedException {
    return await(frame -> frame.getAnswer().hasEnd()).getAnswer().getEnd();
  }

  /** Receives and acknowledges a whole answer; returns its body size, or -1 if incomplete. */
  int awaitAnswer(long sequence) throws InterruptedException {
    int size = 0;
    while (true) {
      Answer part = await(Frame::hasAnswer).getAnswer();
      size += part.getData().size();
      ack(sequence, part.getSequence() + 1);
      if (part.hasEnd()) {
        return part.getEnd().getComplete() ? size : -1;
      }
    }
  }

  @Override
  public void onOpen(PeerConnection opened) {
    connection.complete(opened);
  }

  @Override
  public void onFrame(PeerConnection from, Frame frame) {
    frames.add(frame);
    if (frame.hasCatalogPull()) {
      CatalogChanges.Builder changes = CatalogChanges.newBuilder().setRevision(CATALOG.revision());
      CATALOG.all().forEach(state -> changes.addObjects(toWire(state)));
      from.send(Frame.newBuilder().setCatalogChanges(changes).build());
    }
  }

  private static org.almondslip.protocol.wire.CatalogObject toWire(VersionedObject state) {
    return org.almondslip.protocol.wire.CatalogObject.newBuilder()
        .setKind(state.object().kind().label())
        .setName(state.object().name())
        .setNumber(state.number())
        .setRevision(state.revision())
        .setJson(Kind.toJson(state.object()))
        .build();
  }

  @Override
  public void onClose(PeerConnection closed, CloseReason reason) {}

  @Override
  public void onDialFailed(String address, String detail) {}

  @Override
  public void close() {
    transport.close();
  }
}
