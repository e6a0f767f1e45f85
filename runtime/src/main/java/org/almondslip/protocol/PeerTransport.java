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

/** Accepts and opens the inner connections of a process, and serves all of them on one thread. */
public final class PeerTransport implements AutoCloseable {

  /** Maximum size of a frame on an authenticated connection, in bytes. */
  public static final int MAX_FRAME_BYTES = 2 << 20;

  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private final AtomicLong nextConnectionId = new AtomicLong(1);

  private final TransportSettings settings;

  private final Supplier<Heartbeat> heartbeatSupplier;

  private final PeerListener listener;

  private final TrafficCounters counters;

  /** Identity of this process; {@link #listen} replaces port 0 of its address by the bound port. */
  private volatile PeerIdentity identity;

  /**
   * Creates a transport that does not listen yet.
   *
   * @param identity the identity of this process
   * @param settings the timeouts and the shared secret
   * @param heartbeatSupplier supplies heartbeats; their sequence number is set by the transport
   * @param listener the listener for events of all connections
   * @param counters the traffic counters of this process
   */
  public PeerTransport(
      PeerIdentity identity,
      TransportSettings settings,
      Supplier<Heartbeat> heartbeatSupplier,
      PeerListener listener,
      TrafficCounters counters) {
    this.identity = identity;
    this.settings = settings;
    this.heartbeatSupplier = heartbeatSupplier;
    this.listener = listener;
    this.counters = counters;
  }

  /**
   * Starts to accept connections on the inner address of this process. Throws the exception of the
   * bind if the address is not available.
   *
   * @return the address with the bound port, as {@code ip:port}
   */
  public String listen() {
    InetSocketAddress address = parseAddress(identity.innerAddress());
    ChannelFuture bound =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(newInitializer("", settings.serverTls()))
            .bind(address)
            .syncUninterruptibly();
    InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
    String text = address.getHostString() + ":" + local.getPort();
    identity = identity.withInnerAddress(text);
    return text;
  }

  /**
   * Opens a connection. The listener is notified of its success or failure.
   *
   * @param address the address as {@code ip:port}
   */
  public void dial(String address) {
    new Bootstrap()
        .group(eventLoopGroup)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeoutMillis())
        .handler(newInitializer(address, settings.clientTls()))
        .connect(parseAddress(address))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.onDialFailed(address, String.valueOf(future.cause().getMessage()));
              }
            });
  }

  /**
   * Returns the identity of this process, with the bound port after {@link #listen}.
   *
   * @return the identity
   */
  public PeerIdentity identity() {
    return identity;
  }

  @Override
  public void close() {
    eventLoopGroup
        .shutdownGracefully(0, settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }

  /**
   * Creates the initializer of a connection's pipeline.
   *
   * @param dialledAddress the address to connect to, empty for accepted connections
   * @param tls the TLS context, empty for plain TCP
   * @return the initializer
   */
  private ChannelInitializer<SocketChannel> newInitializer(
      String dialledAddress, Optional<SslContext> tls) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
        addFrameHandlers(channel, dialledAddress);
      }
    };
  }

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
                nextConnectionId.getAndIncrement(),
                identity,
                dialledAddress,
                settings,
                heartbeatSupplier,
                listener,
                counters));
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }
}
