package org.almondslip.router;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Closes connections without waiting for their callers.
 *
 * <p>Vert.x closes a connection only after its pending writes, so the connection of a caller that
 * does not read would stay open for ever.
 */
final class Aborts {

  /** Not instantiable. */
  private Aborts() {}

  /**
   * Closes a connection at once and drops its pending writes.
   *
   * @param connection the connection
   */
  static void abort(HttpConnection connection) {
    ChannelHandlerContext first =
        connection instanceof ConnectionBase base ? base.channel().pipeline().firstContext() : null;
    if (first == null) {
      connection.close();
    } else {
      first.close();
    }
  }
}
