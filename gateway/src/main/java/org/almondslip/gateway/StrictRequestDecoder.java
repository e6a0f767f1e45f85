package org.almondslip.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Decoder that marks a request with both a length and chunks as invalid. Another reader could take
 * the rest of such a body for a request of its own (request smuggling).
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

  /** Header that marks an invalid request; it replaces the length that the decoder drops. */
  static final String AMBIGUOUS_LENGTH = "x-ambiguous-length";

  /**
   * Creates a decoder.
   *
   * @param options the options of the server
   */
  private StrictRequestDecoder(HttpServerOptions options) {
    super(options);
  }

  /**
   * Replaces the decoder of a new connection.
   *
   * @param connection the connection
   * @param options the options of the server
   */
  static void install(HttpConnection connection, HttpServerOptions options) {
    if (connection instanceof ConnectionBase base) {
      base.channel()
          .pipeline()
          .replace(HttpRequestDecoder.class, "strictDecoder", new StrictRequestDecoder(options));
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    message.headers().set(AMBIGUOUS_LENGTH, "1");
  }
}
