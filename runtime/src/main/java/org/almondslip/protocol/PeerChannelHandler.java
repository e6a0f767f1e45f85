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

/** One end of a connection: handshake first, then heartbeats and frames for the listener. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame>
    implements PeerConnection {

  /** Bytes that may wait for a slow peer before the connection is closed. */
  private static final long SEND_BUFFER_LIMIT = 16L << 20;

  /** Number of the connection. */
  private final long id;

  /** Whether this process opened the connection. */
  private final boolean dialled;

  /** Proof of the shared secret in both directions. */
  private final Handshake handshake;

  /** Limits of the connection. */
  private final TransportSettings settings;

  /** Builds the heartbeat of this process. */
  private final Supplier<Heartbeat> heartbeats;

  /** Receiver of the events. */
  private final PeerListener listener;

  /** Counters of the process. */
  private final TrafficCounters counters;

  /** Region of this process. */
  private final String ownRegion;

  /** Address that was dialled, empty for an accepted connection. */
  private final String dialledAddress;

  /** Channel, set when it becomes active. */
  private volatile Channel channel;

  /** First frame of the peer, before its proof has been checked. */
  private Hello claimed;

  /** Identity of the peer, set once its proof has been checked. */
  private volatile PeerIdentity peer;

  /** Why the connection ends; the first reason stands. */
  private volatile CloseReason reason;

  /** Number of the next heartbeat. */
  private long nextHeartbeat = 1;

  /** Timer of heartbeats or of the handshake limit. */
  private Optional<ScheduledFuture<?>> timer = Optional.empty();

  /**
   * Creates one end of a connection.
   *
   * @param id the number of the connection
   * @param identity this process
   * @param dialledAddress the address that was dialled, empty for an accepted connection
   * @param settings the limits of the connection
   * @param heartbeats builds the heartbeat of this process
   * @param listener the receiver of the events
   * @param counters the counters of the process
   */
  PeerChannelHandler(
      long id,
      PeerIdentity identity,
      String dialledAddress,
      TransportSettings settings,
      Supplier<Heartbeat> heartbeats,
      PeerListener listener,
      TrafficCounters counters) {
    this.id = id;
    this.dialled = !dialledAddress.isEmpty();
    this.handshake = new Handshake(settings.secret(), identity, dialled);
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.listener = listener;
    this.counters = counters;
    this.ownRegion = identity.region();
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
    } else if (frame.hasHello() && claimed == null) {
      onHello(frame.getHello());
    } else if (frame.hasProof() && claimed != null) {
      onProof(ctx, frame);
    } else {
      fail(CloseReason.HANDSHAKE_FAILED);
    }
  }

  /**
   * Answers the first frame of the peer.
   *
   * @param hello the frame
   */
  private void onHello(Hello hello) {
    if (hello.getProtocolVersion() != Handshake.PROTOCOL_VERSION
        || hello.getNonce().size() != Handshake.NONCE_BYTES) {
      fail(CloseReason.HANDSHAKE_FAILED);
      return;
    }
    claimed = hello;
    write(Frame.newBuilder().setProof(handshake.prove(hello)).build());
  }

  /**
   * Checks the proof of the peer and opens the connection.
   *
   * @param ctx the channel's context
   * @param frame the frame with the proof
   */
  private void onProof(ChannelHandlerContext ctx, Frame frame) {
    if (!handshake.verify(claimed, frame.getProof())) {
      fail(CloseReason.HANDSHAKE_FAILED);
      return;
    }
    peer = Handshake.toIdentity(claimed);
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

  /** Sends the next heartbeat. */
  private void sendHeartbeat() {
    Heartbeat heartbeat = heartbeats.get().toBuilder().setSequence(nextHeartbeat++).build();
    send(Frame.newBuilder().setHeartbeat(heartbeat).build());
  }

  /** Closes a connection whose handshake did not finish in time. */
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
    CloseReason why = reason == null ? CloseReason.CLOSED_BY_PEER : reason;
    if (peer != null) {
      listener.onClose(this, why);
    } else if (dialled) {
      listener.onDialFailed(dialledAddress, why.name());
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
    if (channel.bytesBeforeWritable() > SEND_BUFFER_LIMIT) {
      fail(CloseReason.SEND_BUFFER_FULL);
      return;
    }
    write(frame);
  }

  @Override
  public void close() {
    if (reason == null) {
      reason = CloseReason.CLOSED_LOCALLY;
    }
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Writes a frame and counts it.
   *
   * @param frame the frame
   */
  private void write(Frame frame) {
    PeerIdentity other = peer;
    boolean acrossRegions = other != null && !other.region().equals(ownRegion);
    counters.count(frame, frame.getSerializedSize(), acrossRegions);
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  /**
   * Closes the connection at once.
   *
   * @param why the reason
   */
  private void fail(CloseReason why) {
    if (reason == null) {
      reason = why;
    }
    channel.close();
  }
}
