package org.almondslip.agent;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.Kind;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.PeerTransport;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.protocol.TransportSettings;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.CatalogRevision;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.Role;

/** Router that keeps what it receives and hands out a catalog with one target. */
final class TestRouter implements PeerListener, AutoCloseable {

  private static final long PATIENCE_SECONDS = 30;

  final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

  private final CompletableFuture<PeerConnection> connection = new CompletableFuture<>();

  private final PeerTransport transport;

  TestRouter(String secret) {
    PeerIdentity self = new PeerIdentity("r1", 1, Role.ROUTER, "r", "d", "127.0.0.1:0", "");
    transport =
        new PeerTransport(
            self,
            TransportSettings.of(secret).withLimits(100, 10_000),
            Heartbeat::getDefaultInstance,
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
    connection.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS).join().send(frame);
  }

  void ack(long sequence, long next) {
    RequestId.Builder id = RequestId.newBuilder().setRouterIncarnation(1).setSequence(sequence);
    AnswerAck.Builder ack = AnswerAck.newBuilder().setRequestId(id).setNextSequence(next);
    send(Frame.newBuilder().setAnswerAck(ack).build());
  }

  /** Skips frames until one matches. */
  Frame await(Predicate<Frame> wanted) throws InterruptedException {
    while (true) {
      Frame frame = frames.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      if (frame == null) {
        throw new AssertionError("the expected frame did not arrive");
      }
      if (wanted.test(frame)) {
        return frame;
      }
    }
  }

  @Override
  public void onOpen(PeerConnection opened) {
    CatalogRevision revision = CatalogRevision.newBuilder().setRevision(1).build();
    opened.send(Frame.newBuilder().setCatalogRevision(revision).build());
    connection.complete(opened);
  }

  @Override
  public void onFrame(PeerConnection from, Frame frame) {
    if (frame.hasCatalogPull()) {
      from.send(Frame.newBuilder().setCatalogChanges(catalog()).build());
    }
    frames.add(frame);
  }

  @Override
  public void onClose(PeerConnection closed, CloseReason reason) {}

  @Override
  public void onDialFailed(String address, String detail) {}

  @Override
  public void close() {
    transport.close();
  }

  private static CatalogChanges catalog() {
    return CatalogChanges.newBuilder()
        .setRevision(1)
        .addObjects(object(new CatalogObject.Target("t1", "pool", null, 2, null, null, null)))
        .addObjects(object(new CatalogObject.Organisation("acme", List.of("pool"))))
        .build();
  }

  private static org.almondslip.protocol.wire.CatalogObject object(CatalogObject object) {
    return org.almondslip.protocol.wire.CatalogObject.newBuilder()
        .setKind(object.kind().label())
        .setName(object.name())
        .setNumber(1)
        .setRevision(1)
        .setJson(Kind.toJson(object))
        .build();
  }
}
