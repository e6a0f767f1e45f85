package org.almondslip.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Closes connections without waiting for the other side.
 *
 * <p>The ordinary close waits until all written data is sent. A peer that does not read would keep
 * the connection and its data in memory.
 */
final class Connections {

  private Connections() {}

  /**
   * Resets a connection and discards its unsent data. The peer sees an error even if its response
   * ends with the connection.
   *
   * @param connection the connection
   */
  static void reset(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) {
      base.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      closeAtOnce(base.channel());
    } else {
      connection.close();
    }
  }

  /**
   * Closes a connection, at once if it has unsent data.
   *
   * @param connection the connection
   */
  static void close(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) {
      close(connection, base.channel());
    } else {
      connection.close();
    }
  }

  /**
   * Closes a connection that gives no access to its channel, at once if it has unsent data.
   *
   * @param connection the connection
   * @param channel the channel of the connection
   */
  static void close(HttpConnection connection, Channel channel) {
    if (hasUnsentData(channel)) {
      closeAtOnce(channel);
    } else {
      connection.close();
    }
  }

  /**
   * Closes a channel without the handlers of its pipeline, since that of Vert.x delays the close
   * until all written data is sent.
   */
  private static void closeAtOnce(Channel channel) {
    ChannelHandlerContext first = channel.pipeline().firstContext();
    if (first != null) {
      first.close();
    }
  }

  private static boolean hasUnsentData(Channel channel) {
    return channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
  }
}
