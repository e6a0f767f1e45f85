package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link CallerConnections}. */
class CallerConnectionsTest {

  private static final int CAPACITY = 10;

  /** Connections in the order in which they were closed. */
  private final List<HttpConnection> closed = new ArrayList<>();

  private final Clock.Manual clock = new Clock.Manual(0);

  private final CallerConnections connections = new CallerConnections(clock, CAPACITY);

  /** Guards against a process that runs out of descriptors while it keeps idle connections. */
  @Test
  void newConnectionReplacesLongestIdle() {
    List<HttpConnection> opened = open(CAPACITY);
    connections.onRequest(opened.get(0));
    open(2);
    assertThat(closed).containsExactly(opened.get(1), opened.get(2));
    assertThat(connections.size()).isEqualTo(CAPACITY);
  }

  /** Guards against an idle time that starts before the end of the last request. */
  @Test
  void connectionIsIdleFromEndOfRequest() {
    List<HttpConnection> opened = open(CAPACITY);
    connections.onRequest(opened.get(0));
    connections.onRequestEnd(opened.get(0));
    open(CAPACITY - 1);
    assertThat(closed).containsExactlyElementsOf(opened.subList(1, CAPACITY));
  }

  /** Guards against open requests that are aborted for new connections. */
  @Test
  void newConnectionIsClosedWhenNoneIsIdle() {
    open(CAPACITY).forEach(connections::onRequest);
    List<HttpConnection> late = open(1);
    assertThat(closed).isEqualTo(late);
    assertThat(connections.refused()).isEqualTo(1);
  }

  /** Guards against connections that are kept open although the capacity is nearly used. */
  @Test
  void softLimitIsHalfOfCapacity() {
    final List<HttpConnection> opened = open(CAPACITY / 2);
    assertThat(connections.aboveSoftLimit()).isFalse();
    open(1);
    assertThat(connections.aboveSoftLimit()).isTrue();
    connections.onClosed(opened.get(0));
    assertThat(connections.aboveSoftLimit()).isFalse();
  }

  /** Guards against connections that stay idle forever, and against closing recent ones. */
  @Test
  void closesConnectionsAfterIdleTimeout() {
    List<HttpConnection> early = open(2);
    clock.advance(60);
    final List<HttpConnection> late = open(2);
    connections.onRequest(early.get(0));
    clock.advance(40);
    connections.closeIdle(100);
    assertThat(closed).containsExactly(early.get(1));
    clock.advance(60);
    connections.closeIdle(100);
    assertThat(closed).containsExactly(early.get(1), late.get(0), late.get(1));
  }

  /** Guards against stalled requests that keep connections, and against aborting slow ones. */
  @Test
  void closesConnectionsWithStalledRequest() {
    List<HttpConnection> opened = open(3);
    opened.forEach(connections::onData);
    connections.onRequest(opened.get(0));
    clock.advance(60);
    connections.onData(opened.get(1));
    clock.advance(40);
    connections.closeIdleAndStalled(100);
    assertThat(closed).containsExactly(opened.get(2));
    assertThat(connections.size()).isEqualTo(2);
  }

  private List<HttpConnection> open(int count) {
    List<HttpConnection> opened = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HttpConnection connection = connection();
      opened.add(connection);
      connections.onOpen(connection);
    }
    return opened;
  }

  private HttpConnection connection() {
    return (HttpConnection)
        Proxy.newProxyInstance(
            HttpConnection.class.getClassLoader(),
            new Class<?>[] {HttpConnection.class},
            (proxy, method, args) ->
                switch (method.getName()) {
                  case "close" -> {
                    closed.add((HttpConnection) proxy);
                    connections.onClosed((HttpConnection) proxy);
                    yield Future.succeededFuture();
                  }
                  case "hashCode" -> System.identityHashCode(proxy);
                  case "equals" -> proxy == args[0];
                  default -> "connection";
                });
  }
}
