package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.almondslip.directory.Address;

/**
 * UDP socket on the event loop of the router.
 *
 * <p>The datagram sockets of Vert.x read one datagram per iteration of the event loop. While
 * iterations are long, the receive buffer then fills with outdated reports and new ones are
 * dropped. This socket therefore reads all datagrams that are available in each iteration, up to a
 * limit.
 */
final class PeerSocket implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int MAX_DATAGRAM_BYTES = 2_048;

  /** Maximum datagrams per read; the receive buffer of a socket holds about as many. */
  private static final int MAX_DATAGRAMS_PER_READ = 128;

  private final Channel channel;

  /**
   * Starts to bind a socket and logs an error when binding fails. Must be called on the event loop.
   *
   * @param vertx the event loop
   * @param address the local address
   * @param handler receives each datagram and the IP address of its sender
   */
  PeerSocket(Vertx vertx, Address address, BiConsumer<byte[], String> handler) {
    ChannelFuture bound =
        new Bootstrap()
            .group(((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop())
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                    .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
            .handler(new DatagramHandler(handler))
            .bind(address.host(), address.port());
    bound.addListener(
        result -> {
          if (!result.isSuccess()) {
            logger.atSevere().withCause(result.cause()).log(
                "failed to bind the UDP socket for reports of other routers");
          }
        });
    this.channel = bound.channel();
  }

  /** Sends the same datagram to each receiver. */
  void send(byte[] data, Collection<InetSocketAddress> receivers) {
    ByteBuf buffer = channel.alloc().directBuffer(data.length).writeBytes(data);
    for (InetSocketAddress receiver : receivers) {
      channel.write(new DatagramPacket(buffer.retainedDuplicate(), receiver));
    }
    channel.flush();
    buffer.release();
  }

  /** Returns the local port. */
  int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close();
  }

  private static final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    private final BiConsumer<byte[], String> handler;

    DatagramHandler(BiConsumer<byte[], String> handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      handler.accept(
          ByteBufUtil.getBytes(packet.content()), packet.sender().getAddress().getHostAddress());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atWarning().withCause(cause).log("failed to handle a datagram of another router");
    }
  }
}
