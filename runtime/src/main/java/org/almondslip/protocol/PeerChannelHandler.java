package org.almondslip.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Hello;

/**
 * Netty handler of a connection, which completes the handshake and then passes frames to the
 * listener.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame>
    implements PeerConnection {

  /** Maximum number of bytes that are queued for a slow peer before the connection is closed. */
  private static final long MAX_QUEUED_BYTES = 16L << 20;

  private final long id;

  private final boolean dialled;

  private final Handshake handshake;

  private final TransportSettings settings;

  private final Supplier<Heartbeat> heartbeatSupplier;

  private final PeerListener listener;

  private final TrafficCounters counters;

  private final String localRegion;

  /** Address that this process connected to; empty for an accepted connection. */
  private final String dialledAddress;

  /** Null until the channel is active. */
  private volatile Channel channel;

  /**
   * Hello frame of the peer, which is unverified before {@link #peer} is set; null until it
   * arrives.
   */
  private Hello peerHello;

  /** Identity of the peer; null until its proof is verified. */
  private volatile PeerIdentity peer;

  /** First reason for which this process closed the connection; null if there is none. */
  private volatile CloseReason closeReason;

  /** Sequence number of the next heartbeat. */
  private long nextHeartbeatSequence = 1;

  /** Timeout of the handshake, then the timer of heartbeats. */
  private Optional<ScheduledFuture<?>> timer = Optional.empty();

  /**
   * Creates the handler of a connection.
   *
   * @param id the id of the connection
   * @param identity the identity of this process
   * @param dialledAddress the address that this process connected to, empty for an accepted
   *     connection
   * @param settings the timeouts and the shared secret
   * @param heartbeatSupplier supplies heartbeats without a sequence number
   * @param listener the listener for events of the connection
   * @param counters the traffic counters of this process
   */
  PeerChannelHandler(
      long id,
      PeerIdentity identity,
      String dialledAddress,
      TransportSettings settings,
      Supplier<Heartbeat> heartbeatSupplier,
      PeerListener listener,
      TrafficCounters counters) {
    this.id = id;
    this.dialled = !dialledAddress.isEmpty();
    this.handshake = new Handshake(settings.secret(), identity, dialled);
    this.settings = settings;
    this.heartbeatSupplier = heartbeatSupplier;
    this.listener = listener;
    this.counters = counters;
    this.localRegion = identity.region();
    this.dialledAddress = dialledAddress;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    timer =
        Optional.of(
            ctx.executor()
                .schedule(
                    this::expireHandshake, settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS));
    write(Frame.newBuilder().setHello(handshake.hello()).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    counters.count(frame, frame.getSerializedSize(), false);
    if (peer != null) {
      if (!frame.hasHello() && !frame.hasProof()) {
        listener.onFrame(this, frame);
      }
    } else if (frame.hasHello() && peerHello == null) {
      onHello(frame.getHello());
    } else if (frame.hasProof() && peerHello != null) {
      onProof(ctx, frame);
    } else {
      fail(CloseReason.HANDSHAKE_FAILED);
    }
  }

  /** Checks the protocol version of the peer and responds with the proof of this process. */
  private void onHello(Hello hello) {
    if (hello.getProtocolVersion() != Handshake.PROTOCOL_VERSION
        || hello.getNonce().size() != Handshake.NONCE_BYTES) {
      fail(CloseReason.HANDSHAKE_FAILED);
      return;
    }
    peerHello = hello;
    write(Frame.newBuilder().setProof(handshake.prove(hello)).build());
  }

  /** Verifies the proof of the peer and reports the connection as open. */
  private void onProof(ChannelHandlerContext ctx, Frame frame) {
    if (!handshake.verify(peerHello, frame.getProof())) {
      fail(CloseReason.HANDSHAKE_FAILED);
      return;
    }
    peer = Handshake.toIdentity(peerHello);
    ctx.pipeline().get(BoundedFrameDecoder.class).raiseLimit(PeerTransport.MAX_FRAME_BYTES);
    timer.ifPresent(t -> t.cancel(false));
    long interval = settings.heartbeatIntervalMillis();
    timer =
        Optional.of(
            ctx.executor()
                .scheduleAtFixedRate(
                    this::sendHeartbeat, interval, interval, TimeUnit.MILLISECONDS));
    listener.onOpen(this);
    sendHeartbeat();
  }

  private void sendHeartbeat() {
    Heartbeat heartbeat =
        heartbeatSupplier.get().toBuilder().setSequence(nextHeartbeatSequence++).build();
    send(Frame.newBuilder().setHeartbeat(heartbeat).build());
  }

  private void expireHandshake() {
    fail(CloseReason.HANDSHAKE_FAILED);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      fail(CloseReason.SILENT);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(
        cause instanceof java.io.IOException
            ? CloseReason.CLOSED_BY_PEER
            : CloseReason.PROTOCOL_VIOLATION);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    timer.ifPresent(t -> t.cancel(false));
    CloseReason finalReason = closeReason == null ? CloseReason.CLOSED_BY_PEER : closeReason;
    if (peer != null) {
      listener.onClose(this, finalReason);
    } else if (dialled) {
      listener.onDialFailed(dialledAddress, finalReason.name());
    }
  }

  @Override
  public long id() {
    return id;
  }

  @Override
  public PeerIdentity peer() {
    return peer;
  }

  @Override
  public boolean dialled() {
    return dialled;
  }

  @Override
  public void send(Frame frame) {
    if (channel.bytesBeforeWritable() > MAX_QUEUED_BYTES) {
      fail(CloseReason.SEND_BUFFER_FULL);
      return;
    }
    write(frame);
  }

  @Override
  public void close() {
    if (closeReason == null) {
      closeReason = CloseReason.CLOSED_LOCALLY;
    }
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Writes a frame without a limit for queued bytes, and counts it. */
  private void write(Frame frame) {
    PeerIdentity receiver = peer;
    boolean crossRegion = receiver != null && !receiver.region().equals(localRegion);
    counters.count(frame, frame.getSerializedSize(), crossRegion);
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  /** Closes the connection without flushing queued frames. */
  private void fail(CloseReason reason) {
    if (closeReason == null) {
      closeReason = reason;
    }
    channel.close();
  }
}
