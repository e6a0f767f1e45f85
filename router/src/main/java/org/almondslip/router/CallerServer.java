package org.almondslip.router;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.routing.Outcome;
import org.almondslip.time.Clock;

/** HTTP API of the callers. */
final class CallerServer implements AutoCloseable {

  /** Time after which a router without a catalog may be asked again, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  /** Interval of the search for callers that read nothing, in milliseconds. */
  private static final long STALL_CHECK_MILLIS = 250;

  /** Largest request line, in bytes. */
  private static final int MAX_REQUEST_LINE = 8 << 10;

  /** Event loops. */
  private final Vertx vertx;

  /** Limits of the API. */
  private final CallerLimits limits;

  /** Finder of organisations. */
  private final Authenticator authenticator;

  /** Open exchanges. */
  private final Exchanges exchanges;

  /** Receiver of the events. */
  private final RequestSink sink;

  /** Source of time. */
  private final Clock clock;

  /** Guard of the connections. */
  private final ConnectionGuard guard;

  /** Server. */
  private final HttpServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx the event loops
   * @param limits the limits of the API
   * @param authenticator the finder of organisations
   * @param exchanges the open exchanges
   * @param sink the receiver of the events
   * @param clock the source of time
   */
  CallerServer(
      Vertx vertx,
      CallerLimits limits,
      Authenticator authenticator,
      Exchanges exchanges,
      RequestSink sink,
      Clock clock) {
    this.vertx = vertx;
    this.limits = limits;
    this.authenticator = authenticator;
    this.exchanges = exchanges;
    this.sink = sink;
    this.clock = clock;
    this.guard = new ConnectionGuard(vertx, limits);
    this.server =
        vertx
            .createHttpServer(options(limits))
            .connectionHandler(guard::onOpen)
            .invalidRequestHandler(this::refuseInvalid)
            .requestHandler(this::handle);
  }

  /**
   * Starts to listen.
   *
   * @param address the address as {@code ip:port}
   * @return the port that was bound
   */
  int listen(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    CompletableFuture<HttpServer> bound =
        server.listen(port, address.substring(0, colon)).toCompletionStage().toCompletableFuture();
    vertx.setPeriodic(
        STALL_CHECK_MILLIS, id -> exchanges.dropStalled(clock.millis(), limits.progressMillis()));
    return bound.join().actualPort();
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  int connections() {
    return guard.size();
  }

  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Builds the options of the server.
   *
   * @param limits the limits of the API
   * @return the options
   */
  private static HttpServerOptions options(CallerLimits limits) {
    return new HttpServerOptions()
        .setMaxHeaderSize(limits.headerBytes())
        .setMaxInitialLineLength(MAX_REQUEST_LINE)
        .setHandle100ContinueAutomatically(true)
        .setHttp2ClearTextEnabled(false);
  }

  /**
   * Takes a request whose headers have arrived.
   *
   * @param request the request
   */
  private void handle(HttpServerRequest request) {
    guard.onHeaders(request.connection());
    if (!authenticator.isReady()) {
      reader(request, "", null)
          .refuse(
              Outcome.notRun(ErrorCode.NOT_READY, "the router has no catalog yet")
                  .withRetryAfter(NOT_READY_RETRY_MILLIS));
      return;
    }
    Optional<String> organisation = authenticator.organisation(request.getHeader("Authorization"));
    if (organisation.isEmpty()) {
      reader(request, "", null)
          .refuse(Outcome.notRun(ErrorCode.UNAUTHORIZED, "a valid bearer key is required"));
      return;
    }
    try {
      Route route = Route.of(request);
      CallerHeaders.timeoutMillis(request.headers(), limits);
      CallerHeaders.idempotencyKey(request.headers());
      reader(request, organisation.get(), route).start();
    } catch (AlmondslipException e) {
      reader(request, "", null).refuse(Refusal.of(e));
    }
  }

  /**
   * Creates the reader of a body.
   *
   * @param request the request
   * @param organisation the organisation of the caller
   * @param route what the request names
   * @return the reader
   */
  private RequestReader reader(HttpServerRequest request, String organisation, Route route) {
    return new RequestReader(
        vertx,
        request,
        limits,
        exchanges.incoming(),
        body -> start(request, organisation, route, body),
        () -> guard.expectHeaders(request.connection()));
  }

  /**
   * Starts the exchange of a request that has arrived as a whole.
   *
   * @param request the request
   * @param organisation the organisation of the caller
   * @param route what the request names
   * @param body the body
   */
  private void start(HttpServerRequest request, String organisation, Route route, Buffer body) {
    long caller = exchanges.nextCaller();
    Exchange exchange =
        new Exchange(
            caller,
            organisation,
            request,
            vertx,
            exchanges,
            sink,
            clock,
            () -> guard.expectHeaders(request.connection()));
    exchange.start(
        RequestReader.toCallerRequest(caller, organisation, route, request, body, limits),
        () -> exchanges.incoming().release(body.length()));
  }

  /**
   * Refuses a request that is not valid HTTP.
   *
   * @param request the request
   */
  private void refuseInvalid(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    ErrorCode code =
        cause instanceof TooLongHttpHeaderException
            ? ErrorCode.HEADERS_TOO_LARGE
            : ErrorCode.BAD_REQUEST;
    request.response().putHeader("Connection", "close");
    Refusal.send(request.response(), Outcome.notRun(code, "the request is not valid HTTP/1.1"))
        .onComplete(sent -> request.connection().close());
  }
}
