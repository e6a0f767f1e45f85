package org.almondslip.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.lang.reflect.Field;
import java.util.Optional;

/**
 * Closes the connection to a server that sends bytes which belong to no response, before the
 * decoder reads them.
 */
public final class ResponseGuard extends ChannelInboundHandlerAdapter {

  private static final Field ACTUAL_CONNECTION = actualConnectionField();

  private final ResponseFraming framing = new ResponseFraming();

  private final Channel channel;

  private ResponseGuard(Channel channel) {
    this.channel = channel;
  }

  /**
   * Adds a guard to a connection on which no request has been sent.
   *
   * @param connection the connection, opened by a client of Vert.x outside its pool
   * @return the guard
   */
  public static ResponseGuard install(HttpClientConnection connection) {
    ResponseGuard guard = new ResponseGuard(channelOf(connection));
    guard.channel.pipeline().addFirst(guard);
    return guard;
  }

  private static Channel channelOf(HttpClientConnection connection) {
    try {
      return ((ConnectionBase) ACTUAL_CONNECTION.get(connection)).channel();
    } catch (IllegalAccessException e) {
      throw new IllegalStateException("failed to access the channel of a connection", e);
    }
  }

  /** Vert.x has no access to the channel of a client connection, unlike that of a server. */
  private static Field actualConnectionField() {
    try {
      Field field = UnpooledHttpClientConnection.class.getDeclaredField("actual");
      field.setAccessible(true);
      return field;
    } catch (NoSuchFieldException e) {
      throw new IllegalStateException("this version of Vert.x is not supported", e);
    }
  }

  /**
   * Expects the response to a request that is about to be sent.
   *
   * @param withoutBody whether the response has no body, whatever its headers say
   */
  public void onRequest(boolean withoutBody) {
    framing.onRequest(withoutBody);
  }

  /**
   * Returns the channel of the connection.
   *
   * @return the channel
   */
  public Channel channel() {
    return channel;
  }

  /**
   * Returns why the connection was closed.
   *
   * @return the reason, empty if this guard has not closed the connection
   */
  public Optional<String> violation() {
    return framing.violation();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf data)) {
      context.fireChannelRead(message);
      return;
    }
    if (framing.violation().isPresent()) {
      data.release();
      return;
    }
    int length = framing.read(data);
    if (framing.violation().isEmpty()) {
      context.fireChannelRead(data);
      return;
    }
    // The end of a response may be followed by other bytes, which do not make it invalid.
    ByteBuf response = data.readRetainedSlice(length);
    data.release();
    context.fireChannelRead(response);
    context.close();
  }
}
