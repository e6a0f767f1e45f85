package org.almondslip.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.lang.reflect.Field;
import java.util.Optional;

/**
 * Closes the connection to a server that sends bytes which are no response or belong to none, and
 * lets a response end only where {@link ResponseFraming} finds its end.
 *
 * <p>One handler reads the bytes before the decoder, another one the messages behind it. A response
 * whose body ends with the connection is complete only if the end of the stream was read, without
 * an error before it, when the whole request had been written (RFC 9112, sections 6.3 and 8). A
 * connection that ends because a write failed tells nothing about the response.
 */
public final class ResponseGuard {

  private static final Field ACTUAL_CONNECTION = actualConnectionField();

  private final ResponseFraming framing = new ResponseFraming();

  private final Channel channel;

  /** Whether the socket has accepted the last byte of the latest request. */
  private boolean requestWritten;

  /** Whether the connection has failed. */
  private boolean failed;

  private ResponseGuard(Channel channel) {
    this.channel = channel;
  }

  /**
   * Adds a guard to a connection on which no request has been sent.
   *
   * @param connection the connection, opened by a client of Vert.x
   * @return the guard
   */
  public static ResponseGuard install(HttpConnection connection) {
    return install(channelOf(connection));
  }

  /** Adds a guard to a channel whose pipeline has an HTTP codec. */
  static ResponseGuard install(Channel channel) {
    ResponseGuard guard = new ResponseGuard(channel);
    // Otherwise the end of the stream and a failed write both appear as a closed channel.
    channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst(guard.new ByteHandler());
    String codec = pipeline.context(HttpClientCodec.class).name();
    pipeline.addAfter(codec, null, guard.new MessageHandler());
    return guard;
  }

  private static Channel channelOf(HttpConnection connection) {
    if (connection instanceof ConnectionBase pooled) {
      return pooled.channel();
    }
    try {
      return ((ConnectionBase) ACTUAL_CONNECTION.get(connection)).channel();
    } catch (IllegalAccessException e) {
      throw new IllegalStateException("failed to access the channel of a connection", e);
    }
  }

  /** Vert.x gives no access to the channel of a connection outside its pool. */
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
  public Optional<ResponseViolation> violation() {
    return framing.violation();
  }

  /** Reads the bytes of the connection before the decoder. */
  private final class ByteHandler extends ChannelInboundHandlerAdapter {

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
      Optional<ResponseViolation> violation = framing.violation();
      if (violation.isEmpty()) {
        context.fireChannelRead(data);
        return;
      }
      // The end of a response may be followed by other bytes, which do not make it invalid.
      boolean complete = framing.isResponseComplete();
      ByteBuf response = data.readRetainedSlice(length);
      data.release();
      context.fireChannelRead(response);
      if (!complete) {
        context.fireExceptionCaught(new InvalidResponseException(violation.get()));
      }
      context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
      failed = true;
      context.fireExceptionCaught(failure);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof ChannelInputShutdownEvent)) {
        context.fireUserEventTriggered(event);
        return;
      }
      if (!failed && requestWritten) {
        framing.onEndOfStream();
      }
      if (!framing.isResponseComplete()) {
        context.fireExceptionCaught(incompleteResponse());
      }
      // The decoder ends the response when the channel is closed, so that no request follows it.
      context.close();
    }
  }

  /** Follows the requests that the encoder gets, and checks what the decoder finds. */
  private final class MessageHandler extends ChannelDuplexHandler {

    /** Whether the messages belong to an interim response. */
    private boolean interim;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest request) {
        framing.onRequest(HttpMethod.HEAD.equals(request.method()));
        requestWritten = false;
      }
      if (message instanceof LastHttpContent) {
        ChannelPromise written = promise.unvoid();
        written.addListener(future -> requestWritten = future.isSuccess());
        context.write(message, written);
      } else {
        context.write(message, promise);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse response) {
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      }
      if (interim) {
        // Vert.x takes some interim responses for final ones.
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof LastHttpContent && !framing.isResponseComplete()) {
        ReferenceCountUtil.release(message);
        context.fireExceptionCaught(incompleteResponse());
        context.close();
        return;
      }
      context.fireChannelRead(message);
    }
  }

  private static IOException incompleteResponse() {
    return new IOException("the connection ended before the end of the response");
  }
}
