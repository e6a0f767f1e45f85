package org.almondslip.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.almondslip.directory.Directory;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;
import org.almondslip.directory.RoutingTable;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.error.ErrorCode;
import org.apache.commons.rng.UniformRandomProvider;

/** Checks requests of callers, reads their bodies and starts to forward them. */
final class Intake {

  /** Time after which a caller may come back to a router that is not ready, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 500;

  /**
   * Part of the revocation time after which the known keys are too old. The rest covers the drift
   * of clocks and the time of a request on its way.
   */
  private static final double KEY_AGE_PART = 0.95;

  /** Time that a caller has to read the answer to an invalid request, in milliseconds. */
  private static final long LINGER_MILLIS = 500;

  /**
   * Factor by which a request of an organisation that received clearly less than its share may have
   * waited longer than others.
   */
  private static final int UNDERSERVED_FACTOR = 2;

  /**
   * When the headers of a request arrived.
   *
   * @param earliest the earliest time at which they may have arrived, in milliseconds
   * @param waitedMillis the time for which they may have waited unread, in milliseconds
   */
  private record Arrival(long earliest, long waitedMillis) {

    /**
     * Estimates the arrival of headers that were read now.
     *
     * @param now the current time in milliseconds
     * @param delayMillis the delay of the event loop in milliseconds
     * @return the arrival
     */
    private static Arrival of(long now, long delayMillis) {
      return new Arrival(now - delayMillis, delayMillis);
    }
  }

  /** Event loop. */
  private final Vertx vertx;

  /** What all requests share. */
  private final GatewayParts parts;

  /** Settings of the router. */
  private final GatewaySettings settings;

  /** State of the fleet. */
  private final Directory directory;

  /** Connections of callers. */
  private final CallerConnections connections;

  /** Delay of the event loop. */
  private final LoopDelay delay;

  /** Source of random numbers. */
  private final UniformRandomProvider random;

  /** Whether callers are asked to open their next connection elsewhere. */
  private final BooleanSupplier closing;

  /** Whether the router takes no further requests. */
  private final BooleanSupplier closed;

  /** Requests that have not ended. */
  private int open;

  /**
   * Creates an intake.
   *
   * @param vertx the event loop
   * @param parts what all requests share
   * @param settings the settings of the router
   * @param directory the state of the fleet
   * @param connections the connections of callers
   * @param delay the delay of the event loop
   * @param random the source of random numbers
   * @param closing whether callers are asked to open their next connection elsewhere
   * @param closed whether the router takes no further requests
   */
  Intake(
      Vertx vertx,
      GatewayParts parts,
      GatewaySettings settings,
      Directory directory,
      CallerConnections connections,
      LoopDelay delay,
      UniformRandomProvider random,
      BooleanSupplier closing,
      BooleanSupplier closed) {
    this.vertx = vertx;
    this.parts = parts;
    this.settings = settings;
    this.directory = directory;
    this.connections = connections;
    this.delay = delay;
    this.random = random;
    this.closing = closing;
    this.closed = closed;
  }

  /**
   * Returns the number of requests that have not ended.
   *
   * @return the number
   */
  int open() {
    return open;
  }

  /**
   * Returns whether the known keys are fresh enough to serve requests with keys.
   *
   * @return true when a removed key is known in time
   */
  boolean keysFresh() {
    return directory.routesFreshness().ageMillis() < settings.revocationMillis() * KEY_AGE_PART;
  }

  /**
   * Takes a request whose headers have arrived.
   *
   * @param request the request
   */
  void onRequest(HttpServerRequest request) {
    final Arrival arrival = Arrival.of(parts.clock().millis(), delay.millis());
    if (connections.isRejected(request.connection())) {
      return;
    }
    connections.onData(request.connection());
    CallerAnswer answer = new CallerAnswer(request, closing.getAsBoolean());
    if (request.headers().contains(StrictRequestDecoder.AMBIGUOUS_LENGTH)) {
      reject(request, ErrorCode.BAD_REQUEST, "the request has both a length and chunks");
      return;
    }
    if (closed.getAsBoolean()) {
      refuse(request, answer, ErrorCode.DRAINING, ErrorCode.DRAINING.title());
      return;
    }
    Optional<RoutingTable> table = directory.table();
    if (table.isEmpty()) {
      refuse(request, answer, ErrorCode.NOT_READY, "no routes are known yet");
      return;
    }
    IngressLimits limits = table.get().limits();
    if (RequestHead.size(request) > limits.maxHeaderBytes()) {
      reject(request, ErrorCode.HEADERS_TOO_LARGE, ErrorCode.HEADERS_TOO_LARGE.title());
      return;
    }
    readBody(request, answer, limits.maxBodyBytes(), arrival);
  }

  /**
   * Reads the body.
   *
   * @param request the request
   * @param answer the answer
   * @param maxBytes the largest size of the body in bytes
   * @param arrival when the headers arrived
   */
  private void readBody(
      HttpServerRequest request, CallerAnswer answer, long maxBytes, Arrival arrival) {
    Buffer body = Buffer.buffer();
    request.handler(
        data -> {
          if (answer.ended()) {
            return;
          }
          connections.onData(request.connection());
          body.appendBuffer(data);
          if (body.length() > maxBytes) {
            answer.abandon();
            reject(request, ErrorCode.BODY_TOO_LARGE, ErrorCode.BODY_TOO_LARGE.title());
          }
        });
    request.exceptionHandler(failure -> answer.abandon());
    request.endHandler(
        ignored -> {
          if (!answer.ended()) {
            connections.onRequest(request.connection());
            check(request, answer, body, arrival);
          }
        });
  }

  /**
   * Checks a whole request and forwards it.
   *
   * @param request the request
   * @param answer the answer
   * @param body the body
   * @param arrival when the headers arrived
   */
  private void check(HttpServerRequest request, CallerAnswer answer, Buffer body, Arrival arrival) {
    RoutingTable table = directory.table().orElseThrow();
    Optional<Route> route =
        table.route(
            Objects.requireNonNullElse(request.getHeader("Host"), ""), RequestHead.path(request));
    if (route.isEmpty()) {
      fail(request, answer, ErrorCode.NOT_FOUND, "no route matches");
      return;
    }
    HeaderCodec.RequestHeaders decoded = parts.codec().readRequest(request.headers());
    Optional<Organisation> organisation = decoded.apiKey().flatMap(table::organisation);
    boolean keyed = table.requiresApiKey(route.get());
    if (keyed && !keysFresh()) {
      refuse(request, answer, ErrorCode.STORE_UNAVAILABLE, "the known keys are too old");
      return;
    }
    if (keyed && organisation.isEmpty()) {
      fail(request, answer, ErrorCode.UNAUTHORIZED, ErrorCode.UNAUTHORIZED.title());
      return;
    }
    if (!directory.isComplete()) {
      refuse(request, answer, ErrorCode.NOT_READY, "no targets are known yet");
      return;
    }
    forward(request, answer, body, arrival, route.get(), decoded, organisation);
  }

  /**
   * Forwards a request.
   *
   * @param request the request
   * @param answer the answer
   * @param body the body
   * @param arrival when the headers arrived
   * @param route the route
   * @param decoded what the headers say
   * @param organisation the holder of the key
   */
  private void forward(
      HttpServerRequest request,
      CallerAnswer answer,
      Buffer body,
      Arrival arrival,
      Route route,
      HeaderCodec.RequestHeaders decoded,
      Optional<Organisation> organisation) {
    String service = route.selectService(random.nextDouble());
    String name = organisation.map(Organisation::name).orElse("");
    if (isTooLate(arrival, service, name)) {
      parts.dispatcher().onRefused(service, name, decoded.prompt(), RefusalReason.EVENT_LOOP_DELAY);
      String detail = "the event loop is up to " + arrival.waitedMillis() + " ms behind";
      parts.decisions().rejected(ErrorCode.ROUTER_OVERLOADED, detail, decoded.requestId(), name);
      turnAway(request, answer, ErrorCode.ROUTER_OVERLOADED, detail);
      return;
    }
    CallerCall call =
        new CallerCall(
            request.method(),
            request.uri(),
            request.headers(),
            body,
            decoded,
            route,
            service,
            organisation,
            arrival.earliest(),
            Arrays.hashCode(body.getBytes()) * 31L
                + Objects.hash(request.method(), request.uri(), decoded.apiKey()));
    parts.budget(service).onRequest(arrival.earliest());
    open++;
    new Forwarding(
            parts,
            vertx,
            request,
            call,
            answer,
            () -> {
              open--;
              connections.onAnswered(request.connection());
            })
        .start();
  }

  /**
   * Returns whether a request is refused since the router is behind its load. Organisations that
   * received clearly less than their share are served somewhat longer than others.
   *
   * @param arrival when the headers arrived
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @return true when it is refused
   */
  private boolean isTooLate(Arrival arrival, String service, String organisation) {
    long limit = settings.maxEventLoopDelayMillis();
    return arrival.waitedMillis() > limit * UNDERSERVED_FACTOR
        || arrival.waitedMillis() > limit
            && !parts.dispatcher().isUnderserved(service, organisation);
  }

  /**
   * Answers a request with an error that coming back does not change.
   *
   * @param request the request
   * @param answer the answer
   * @param code the code of the error
   * @param detail what is wrong
   */
  private void fail(HttpServerRequest request, CallerAnswer answer, ErrorCode code, String detail) {
    logRejection(request, code, detail);
    answer.fail(code, detail, OptionalLong.empty());
    connections.onAnswered(request.connection());
  }

  /**
   * Refuses a request that the caller may send again.
   *
   * @param request the request
   * @param answer the answer
   * @param code the code of the error
   * @param detail why it is refused
   */
  private void refuse(
      HttpServerRequest request, CallerAnswer answer, ErrorCode code, String detail) {
    logRejection(request, code, detail);
    turnAway(request, answer, code, detail);
  }

  /**
   * Tells a caller when to come back.
   *
   * @param request the request
   * @param answer the answer
   * @param code the code of the error
   * @param detail why it is refused
   */
  private void turnAway(
      HttpServerRequest request, CallerAnswer answer, ErrorCode code, String detail) {
    answer.fail(code, detail, OptionalLong.of(NOT_READY_RETRY_MILLIS));
    connections.onAnswered(request.connection());
  }

  /**
   * Answers an invalid request and closes its connection, whose next bytes cannot be trusted.
   *
   * @param request the request
   * @param code the code of the error
   * @param detail what is wrong
   */
  private void reject(HttpServerRequest request, ErrorCode code, String detail) {
    logRejection(request, code, detail);
    connections.onRejected(request.connection());
    new CallerAnswer(request, true).fail(code, detail, OptionalLong.empty());
    request.connection().shutdown(LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Logs a request that is not accepted.
   *
   * @param request the request
   * @param code the code of the error
   * @param detail why it is not accepted
   */
  private void logRejection(HttpServerRequest request, ErrorCode code, String detail) {
    HeaderCodec.RequestHeaders decoded = parts.codec().readRequest(request.headers());
    String organisation =
        directory
            .table()
            .flatMap(table -> decoded.apiKey().flatMap(table::organisation))
            .map(Organisation::name)
            .orElse("");
    parts.decisions().rejected(code, detail, decoded.requestId(), organisation);
  }
}
