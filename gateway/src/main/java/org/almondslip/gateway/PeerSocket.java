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
 * Datagram socket on the event loop of the router.
 *
 * <p>The sockets of Vert.x read one datagram in a turn of the event loop. While turns are long, the
 * buffer of the socket then fills with old reports and the new ones are lost, so this socket reads
 * what is there.
 */
final class PeerSocket implements AutoCloseable {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Largest datagram that is read, in bytes. */
  private static final int MAX_BYTES = 2_048;

  /** Datagrams that are read in one turn; the buffer of a socket holds about as many. */
  private static final int MAX_READS = 128;

  /** Channel of the socket. */
  private final Channel channel;

  /**
   * Binds a socket. Called on the event loop.
   *
   * @param vertx the event loop
   * @param address the address
   * @param handler receives datagrams with the IP addresses of their senders
   */
  PeerSocket(Vertx vertx, Address address, BiConsumer<byte[], String> handler) {
    ChannelFuture bound =
        new Bootstrap()
            .group(((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop())
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_BYTES).maxMessagesPerRead(MAX_READS))
            .handler(new Reader(handler))
            .bind(address.host(), address.port());
    bound.addListener(
        result -> {
          if (!result.isSuccess()) {
            logger.atSevere().withCause(result.cause()).log("no port for reports");
          }
        });
    this.channel = bound.channel();
  }

  /**
   * Sends a datagram.
   *
   * @param data the datagram
   * @param receivers the addresses that it is sent to
   */
  void send(byte[] data, Collection<InetSocketAddress> receivers) {
    ByteBuf buffer = channel.alloc().directBuffer(data.length).writeBytes(data);
    for (InetSocketAddress receiver : receivers) {
      channel.write(new DatagramPacket(buffer.retainedDuplicate(), receiver));
    }
    channel.flush();
    buffer.release();
  }

  /**
   * Returns the port.
   *
   * @return the port that was bound
   */
  int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Passes datagrams on. */
  private static final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {

    /** Receives datagrams with the IP addresses of their senders. */
    private final BiConsumer<byte[], String> handler;

    /**
     * Creates a reader.
     *
     * @param handler receives datagrams with the IP addresses of their senders
     */
    Reader(BiConsumer<byte[], String> handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      handler.accept(
          ByteBufUtil.getBytes(packet.content()), packet.sender().getAddress().getHostAddress());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      logger.atWarning().withCause(cause).log("a datagram could not be handled");
    }
  }
}
