package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.almondslip.standins.Standin;

/** HTTP server of a target, with the faults that all targets share. Its state stays on one loop. */
final class TargetServer extends VerticleBase {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Largest body that a target reads, in bytes. */
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Wait until the address is bound again after it was found in use, in milliseconds. */
  private static final long RETRY_MILLIS = 20;

  /** Name in the settings. */
  private final String name;

  /** Host to listen on. */
  private final String host;

  /** Target behind the server. */
  private final Target target;

  /** Connections that are open. */
  private final Set<HttpConnection> connections = new HashSet<>();

  /** Connections that were told to go silent. */
  private final Set<HttpConnection> silent = new HashSet<>();

  /** Port that is bound; 0 before the first start when any port will do. */
  private volatile int port;

  /** Current faults. */
  private Faults faults = Faults.NONE;

  /** Current server. */
  private HttpServer server;

  /** What a target does with calls. */
  interface Target {

    /**
     * Answers a call.
     *
     * @param call the call
     * @param faults the faults in force
     */
    void handle(Call call, FaultSource faults);

    /**
     * Returns the slot time used so far.
     *
     * @return the JSON form
     */
    ObjectNode usage();

    /** Loses everything that a crash loses. */
    void crash();
  }

  /** Access to the faults in force. */
  interface FaultSource {

    /**
     * Returns the faults in force.
     *
     * @return the faults
     */
    Faults faults();

    /** Counts a stream that was reset. */
    void resetDone();
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param name the name in the settings
   * @param address the address as {@code ip:port}
   * @param target the target behind the server
   */
  TargetServer(String name, String address, Target target) {
    this.name = name;
    int colon = address.lastIndexOf(':');
    this.host = address.substring(0, colon);
    this.port = Integer.parseInt(address.substring(colon + 1));
    this.target = target;
  }

  /**
   * Returns this server as a stand-in.
   *
   * @param vertx the event loops to use
   * @return the stand-in
   */
  BoundStandin toStandin(Vertx vertx) {
    return new BoundStandin(vertx, this);
  }

  /** A stand-in that can tell its port. */
  static final class BoundStandin implements Standin {

    /** Event loops to use. */
    private final Vertx vertx;

    /** Server to run. */
    private final TargetServer server;

    /** Identity of the deployment, empty before the start. */
    private Optional<String> deployment = Optional.empty();

    /**
     * Creates a stand-in.
     *
     * @param vertx the event loops to use
     * @param server the server to run
     */
    private BoundStandin(Vertx vertx, TargetServer server) {
      this.vertx = vertx;
      this.server = server;
    }

    @Override
    public String name() {
      return server.name;
    }

    @Override
    public void start() {
      deployment =
          Optional.of(
              vertx.deployVerticle(server).toCompletionStage().toCompletableFuture().join());
    }

    @Override
    public void close() {
      deployment.ifPresent(
          id -> vertx.undeploy(id).toCompletionStage().toCompletableFuture().join());
      deployment = Optional.empty();
    }

    /**
     * Returns the port that is bound.
     *
     * @return the port
     */
    int port() {
      return server.port;
    }
  }

  @Override
  public Future<?> start() {
    return listen();
  }

  @Override
  public Future<?> stop() {
    return server.close();
  }

  /**
   * Binds the address.
   *
   * @return completes when the address is bound
   */
  private Future<?> listen() {
    server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
    server.connectionHandler(this::onConnection);
    server.requestHandler(this::onRequest);
    return server.listen(port, host).onSuccess(bound -> port = bound.actualPort());
  }

  /**
   * Registers a new connection.
   *
   * @param connection the connection
   */
  private void onConnection(HttpConnection connection) {
    connections.add(connection);
    connection.closeHandler(
        closed -> {
          connections.remove(connection);
          silent.remove(connection);
        });
  }

  /**
   * Reads the body of a request and answers it.
   *
   * @param request the request
   */
  private void onRequest(HttpServerRequest request) {
    HttpConnection connection = request.connection();
    if (silent.contains(connection)) {
      return;
    }
    request
        .body()
        .onSuccess(
            body -> {
              if (body.length() > MAX_BODY_BYTES) {
                request.response().setStatusCode(413).end();
              } else {
                onCall(new Call(request, body, () -> silent.contains(connection)));
              }
            });
  }

  /**
   * Answers a call.
   *
   * @param call the call
   */
  private void onCall(Call call) {
    switch (call.route()) {
      case "POST /faults" -> setFaults(call);
      case "GET /usage" -> call.end(200, target.usage());
      case "GET /health" -> call.end(200, JsonNodeFactory.instance.objectNode());
      default -> {
        if (faults.crashesOn(call.body())) {
          logger.atInfo().log("%s crashes on a marked body", name);
          goDown();
        } else {
          target.handle(call, source());
        }
      }
    }
  }

  /**
   * Returns access to the faults in force.
   *
   * @return the access
   */
  private FaultSource source() {
    return new FaultSource() {
      @Override
      public Faults faults() {
        return faults;
      }

      @Override
      public void resetDone() {
        faults = faults.withOneResetLess();
      }
    };
  }

  /**
   * Sets the faults that a message names.
   *
   * @param call the call with the message
   */
  private void setFaults(Call call) {
    Optional<Faults> parsed = Faults.parse(call.body());
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    if (parsed.isEmpty()) {
      call.end(400, answer.put("detail", "not a valid list of faults"));
      return;
    }
    faults = parsed.get();
    call.end(200, answer.put("set", true));
    if (faults.silenceOpen()) {
      silent.addAll(connections);
    }
    if (faults.refuse()) {
      goDown();
    }
  }

  /** Closes all connections, loses the state of the target and refuses connections for a while. */
  private void goDown() {
    target.crash();
    List.copyOf(connections).forEach(HttpConnection::close);
    server
        .close()
        .onComplete(closed -> vertx.setTimer(faults.downMillis(), timer -> listenAgain()));
  }

  /** Binds the address again, and once more when it is still in use. */
  private void listenAgain() {
    listen().onFailure(failure -> vertx.setTimer(RETRY_MILLIS, timer -> listenAgain()));
  }
}
