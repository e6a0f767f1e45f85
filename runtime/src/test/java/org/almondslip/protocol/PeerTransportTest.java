package org.almondslip.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.resource.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerTransportTest {

  private static final long TIMEOUT_SECONDS = 30;

  private final Closer closer = new Closer();

  @AfterEach
  void close() {
    closer.close();
  }

  /** Guards against frames that are lost, changed or reordered on an open connection. */
  @Test
  void framesArriveInOrderOnBothSides() throws Exception {
    RecordingListener server = start("agent-1", Role.AGENT, "secret");
    RecordingListener client = start("router-1", Role.ROUTER, "secret");
    client.transport.dial(server.address);
    PeerConnection fromClient = client.open.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    PeerConnection fromServer = server.open.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(fromClient.peer().instanceId()).isEqualTo("agent-1");
    assertThat(fromServer.peer().role()).isEqualTo(Role.ROUTER);
    for (int i = 0; i < 100; i++) {
      fromClient.send(grant(i));
      fromServer.send(grant(-i));
    }
    for (int i = 0; i < 100; i++) {
      assertThat(server.nextGrant()).isEqualTo(i);
      assertThat(client.nextGrant()).isEqualTo(-i);
    }
  }

  /** Guards against frames being exchanged with a peer that does not know the shared secret. */
  @Test
  void peerWithAnotherSecretIsRefused() throws Exception {
    RecordingListener server = start("agent-1", Role.AGENT, "secret");
    RecordingListener client = start("router-1", Role.ROUTER, "wrong-secret");
    client.transport.dial(server.address);
    assertThat(client.failedAddresses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    assertThat(server.open).isEmpty();
    assertThat(client.open).isEmpty();
  }

  /** Guards against a large frame being buffered for a peer that is not authenticated. */
  @Test
  void largeFrameBeforeHandshakeClosesTheConnection() throws Exception {
    RecordingListener server = start("agent-1", Role.AGENT, "secret");
    int colon = server.address.lastIndexOf(':');
    int port = Integer.parseInt(server.address.substring(colon + 1));
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(new byte[] {(byte) 0xff, (byte) 0xff, 0x7f, 0, 0});
      socket.getOutputStream().flush();
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      assertThat(isClosedByPeer(socket)).isTrue();
    }
    assertThat(server.open).isEmpty();
  }

  /** Guards against a connection attempt without a timeout to a peer that never responds. */
  @Test
  void dialFailsIfPeerNeverResponds() throws Exception {
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      RecordingListener client = start("router-1", Role.ROUTER, "secret");
      client.transport.dial("127.0.0.1:" + unresponsive.getLocalPort());
      assertThat(client.failedAddresses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }
  }

  /** Guards against bodies being counted as control traffic. */
  @Test
  void bodiesAreCountedApartFromControl() throws Exception {
    RecordingListener server = start("agent-1", Role.AGENT, "secret");
    RecordingListener client = start("router-1", Role.ROUTER, "secret");
    client.transport.dial(server.address);
    PeerConnection fromServer = server.open.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    ByteString body = ByteString.copyFrom(new byte[10_000]);
    fromServer.send(Frame.newBuilder().setAnswer(Answer.newBuilder().setData(body)).build());
    fromServer.send(grant(1));
    assertThat(client.nextGrant()).isEqualTo(1);
    assertThat(client.counters.dataBytes()).isEqualTo(10_000);
    assertThat(client.counters.controlBytes()).isBetween(100L, 2_000L);
  }

  private static boolean isClosedByPeer(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
      return true;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  private static Frame grant(long id) {
    return Frame.newBuilder().setGrant(Grant.newBuilder().setGrantId(id)).build();
  }

  private RecordingListener start(String instance, Role role, String secret) {
    RecordingListener listener = new RecordingListener();
    listener.transport =
        closer.register(
            new PeerTransport(
                new PeerIdentity(instance, 1, role, "seoul", "seoul-1", "127.0.0.1:0", ""),
                TransportSettings.of(secret),
                Heartbeat::getDefaultInstance,
                listener,
                listener.counters));
    listener.address = listener.transport.listen();
    return listener;
  }

  private static final class RecordingListener implements PeerListener {

    private final BlockingQueue<PeerConnection> open = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> failedAddresses = new LinkedBlockingQueue<>();
    private final TrafficCounters counters = new TrafficCounters();
    private PeerTransport transport;
    private String address;

    long nextGrant() throws InterruptedException {
      Frame frame = frames.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(frame).isNotNull();
      return frame.getGrant().getGrantId();
    }

    @Override
    public void onOpen(PeerConnection connection) {
      open.add(connection);
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
      if (frame.hasGrant()) {
        frames.add(frame);
      }
    }

    @Override
    public void onClose(PeerConnection connection, CloseReason reason) {}

    @Override
    public void onDialFailed(String address, String detail) {
      failedAddresses.add(address);
    }
  }
}
