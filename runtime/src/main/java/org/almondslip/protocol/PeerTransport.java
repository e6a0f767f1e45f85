package org.almondslip.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;

/** Accepts and opens inner connections on one network thread. */
public final class PeerTransport implements AutoCloseable {

  /** Largest frame that is accepted, in bytes. */
  public static final int MAX_FRAME_BYTES = 2 << 20;

  /** Network thread of all inner connections. */
  private final MultiThreadIoEventLoopGroup loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Number of the next connection. */
  private final AtomicLong nextId = new AtomicLong(1);

  /** Limits and secrets. */
  private final TransportSettings settings;

  /** Builds the heartbeat of this process. */
  private final Supplier<Heartbeat> heartbeats;

  /** Receiver of the events. */
  private final PeerListener listener;

  /** Counters of the process. */
  private final TrafficCounters counters;

  /** This process; its address is completed when it listens on port 0. */
  private volatile PeerIdentity identity;

  /**
   * Creates a transport that does not listen yet.
   *
   * @param identity this process
   * @param settings the limits and secrets
   * @param heartbeats builds the heartbeat of this process; its sequence number is filled in
   * @param listener the receiver of the events
   * @param counters the counters of the process
   */
  public PeerTransport(
      PeerIdentity identity,
      TransportSettings settings,
      Supplier<Heartbeat> heartbeats,
      PeerListener listener,
      TrafficCounters counters) {
    this.identity = identity;
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.listener = listener;
    this.counters = counters;
  }

  /**
   * Accepts connections on the inner address of this process.
   *
   * @return the address with the port that was bound
   */
  public String listen() {
    InetSocketAddress address = parse(identity.innerAddress());
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer("", settings.serverTls()))
            .bind(address)
            .syncUninterruptibly();
    InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
    String text = address.getHostString() + ":" + local.getPort();
    identity = identity.withInnerAddress(text);
    return text;
  }

  /**
   * Opens a connection. The listener hears of its success or failure.
   *
   * @param address the address as {@code ip:port}
   */
  public void dial(String address) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeoutMillis())
        .handler(initializer(address, settings.clientTls()))
        .connect(parse(address))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.onDialFailed(address, String.valueOf(future.cause().getMessage()));
              }
            });
  }

  /**
   * Returns this process with the address that was bound.
   *
   * @return the identity
   */
  public PeerIdentity identity() {
    return identity;
  }

  @Override
  public void close() {
    loop.shutdownGracefully(0, settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }

  /**
   * Builds the pipeline of a connection.
   *
   * @param dialledAddress the address that was dialled, empty for accepted connections
   * @param tls the TLS context, empty for plain TCP
   * @return the initializer
   */
  private ChannelInitializer<SocketChannel> initializer(
      String dialledAddress, Optional<SslContext> tls) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
        addFrameHandlers(channel, dialledAddress);
      }
    };
  }

  /**
   * Adds framing, silence detection and the connection's handler.
   *
   * @param channel the channel
   * @param dialledAddress the address that was dialled, empty for accepted connections
   */
  private void addFrameHandlers(Channel channel, String dialledAddress) {
    channel
        .pipeline()
        .addLast(new BoundedFrameDecoder())
        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(new IdleStateHandler(settings.idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new PeerChannelHandler(
                nextId.getAndIncrement(),
                identity,
                dialledAddress,
                settings,
                heartbeats,
                listener,
                counters));
  }

  /**
   * Parses an address.
   *
   * @param address the address as {@code ip:port}
   * @return the socket address
   */
  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }
}
