package org.almondslip.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Marks requests that have both Content-Length and chunked Transfer-Encoding as invalid. Another
 * HTTP implementation could parse the end of such a body as a separate request (request smuggling).
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

  /** Header that marks a request as invalid. It replaces the Content-Length header. */
  static final String AMBIGUOUS_LENGTH = "x-ambiguous-length";

  private StrictRequestDecoder(HttpServerOptions options) {
    super(options);
  }

  /**
   * Replaces the request decoder in the pipeline of a new connection.
   *
   * @param connection the connection
   * @param options the options of the server that accepted the connection
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
