package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.almondslip.resource.Closer;
import org.almondslip.standins.Standin;

/** TCP relay between two places, with a delay and faults. */
final class Link implements Standin {

  /** Name in the settings. */
  private final String name;

  /** Settings. */
  private final LinkSettings settings;

  /** Event loops to use. */
  private final Vertx vertx;

  /** Open relays. */
  private final Set<Relay> relays = ConcurrentHashMap.newKeySet();

  /** Bytes relayed in both directions. */
  private final LongAdder bytes = new LongAdder();

  /** Bytes that a fault has lost. */
  private final LongAdder lost = new LongAdder();

  /** What to close. */
  private final Closer closer = new Closer();

  /** Delay of all bytes. */
  private final DelayLine delayLine;

  /** Current faults. */
  private volatile LinkFaults faults = LinkFaults.NONE;

  /** Port on which faults are set. */
  private volatile int controlPort;

  /** Ports of the routes, in their order. */
  private volatile List<Integer> routePorts = List.of();

  /**
   * Creates a link that does not listen yet.
   *
   * @param name the name in the settings
   * @param settings the settings
   * @param vertx the event loops to use
   */
  Link(String name, LinkSettings settings, Vertx vertx) {
    this.name = name;
    this.settings = settings;
    this.vertx = vertx;
    this.delayLine = closer.register(new DelayLine("delay-" + name));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public void start() {
    NetClient client = vertx.createNetClient();
    closer.register(() -> await(client.close()));
    routePorts = settings.routes().stream().map(route -> listen(route, client)).toList();
    var server = vertx.createHttpServer().requestHandler(this::onControl);
    closer.register(() -> await(server.close()));
    controlPort =
        await(server.listen(portOf(settings.control()), hostOf(settings.control()))).actualPort();
  }

  @Override
  public void close() {
    relays.forEach(Relay::close);
    closer.close();
  }

  /**
   * Returns the port on which faults are set.
   *
   * @return the port
   */
  int controlPort() {
    return controlPort;
  }

  /**
   * Returns the ports of the routes.
   *
   * @return the ports in the order of the settings
   */
  List<Integer> routePorts() {
    return routePorts;
  }

  /**
   * Binds the address of a route.
   *
   * @param route the route
   * @param client the client for outgoing connections
   * @return the port that was bound
   */
  private int listen(LinkSettings.Route route, NetClient client) {
    var server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
    server.connectHandler(socket -> onConnection(socket, route, client));
    closer.register(() -> await(server.close()));
    return await(server.listen(portOf(route.listen()), hostOf(route.listen()))).actualPort();
  }

  /**
   * Relays a new connection.
   *
   * @param near the connection that was accepted
   * @param route the route
   * @param client the client for outgoing connections
   */
  private void onConnection(NetSocket near, LinkSettings.Route route, NetClient client) {
    if (faults.refuse()) {
      near.close();
      return;
    }
    near.pause();
    client
        .connect(portOf(route.connect()), hostOf(route.connect()))
        .onFailure(failure -> near.close())
        .onSuccess(far -> new Relay(near, far).begin());
  }

  /**
   * Answers a control request.
   *
   * @param request the request
   */
  private void onControl(HttpServerRequest request) {
    request.body().onSuccess(body -> request.response().end(control(request, body.toString())));
  }

  /**
   * Sets faults or reports counters.
   *
   * @param request the request
   * @param body its body
   * @return the answer
   */
  private String control(HttpServerRequest request, String body) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    if (request.path().equals("/link")) {
      json.put("bytes", bytes.sum()).put("lost", lost.sum());
      return json.put("connections", relays.size()).toString();
    }
    Optional<LinkFaults> parsed = LinkFaults.parse(body);
    if (!request.path().equals("/faults") || parsed.isEmpty()) {
      request.response().setStatusCode(400);
      return json.put("detail", "not a valid list of faults").toString();
    }
    faults = parsed.get();
    if (faults.silenceOpen()) {
      relays.forEach(Relay::silence);
    }
    if (faults.dropOpen()) {
      relays.forEach(Relay::close);
    }
    return json.put("set", true).toString();
  }

  /** One relayed connection. */
  private final class Relay {

    /** Connection that was accepted. */
    private final NetSocket near;

    /** Connection to the other end. */
    private final NetSocket far;

    /** Event loop of both connections. */
    private final Context context;

    /** Whether all bytes are lost from now on. */
    private volatile boolean silent;

    /**
     * Creates a relay.
     *
     * @param near the connection that was accepted
     * @param far the connection to the other end
     */
    private Relay(NetSocket near, NetSocket far) {
      this.near = near;
      this.far = far;
      this.context = vertx.getOrCreateContext();
    }

    /** Starts to relay in both directions. */
    private void begin() {
      relays.add(this);
      pipe(near, far, true);
      pipe(far, near, false);
      near.resume();
    }

    /** Loses all bytes from now on. */
    private void silence() {
      silent = true;
    }

    /** Closes both connections. */
    private void close() {
      relays.remove(this);
      near.close();
      far.close();
    }

    /**
     * Relays one direction.
     *
     * @param from the connection to read
     * @param to the connection to write
     * @param forward whether bytes come from the connecting side
     */
    private void pipe(NetSocket from, NetSocket to, boolean forward) {
      from.handler(
          buffer -> {
            if (passes(forward)) {
              bytes.add(buffer.length());
              later(() -> write(from, to, buffer));
            } else {
              lost.add(buffer.length());
            }
          });
      from.closeHandler(closed -> onEnd(forward));
      from.exceptionHandler(failure -> close());
    }

    /**
     * Returns whether bytes of a direction arrive.
     *
     * @param forward whether they come from the connecting side
     * @return false when they are lost
     */
    private boolean passes(boolean forward) {
      return !silent && !(forward ? faults.cutForward() : faults.cutBackward());
    }

    /**
     * Passes bytes on and stops reading while the other end does not take them.
     *
     * @param from the connection that was read
     * @param to the connection to write
     * @param buffer the bytes
     */
    private void write(NetSocket from, NetSocket to, Buffer buffer) {
      to.write(buffer);
      if (to.writeQueueFull()) {
        from.pause();
        to.drainHandler(drained -> from.resume());
      }
    }

    /**
     * Closes the other end, unless the end of the connection is lost like its bytes.
     *
     * @param forward whether the connecting side has closed
     */
    private void onEnd(boolean forward) {
      if (passes(forward)) {
        later(this::close);
      }
    }

    /**
     * Runs an action on the event loop after the delay.
     *
     * @param action the action
     */
    private void later(Runnable action) {
      delayLine.add(
          TimeUnit.MICROSECONDS.toNanos(settings.delayMicros()),
          () -> context.runOnContext(ignored -> action.run()));
    }
  }

  /**
   * Returns the host of an address.
   *
   * @param address the address as {@code ip:port}
   * @return the host
   */
  private static String hostOf(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  /**
   * Returns the port of an address.
   *
   * @param address the address as {@code ip:port}
   * @return the port
   */
  private static int portOf(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /**
   * Waits for a result.
   *
   * @param future the future
   * @param <T> the type of the result
   * @return the result
   */
  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }
}
