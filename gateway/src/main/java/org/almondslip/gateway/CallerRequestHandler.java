package org.almondslip.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.almondslip.directory.Directory;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.RequestRegions;
import org.almondslip.directory.Route;
import org.almondslip.directory.RoutingTable;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.error.ErrorCode;
import org.apache.commons.rng.UniformRandomProvider;

/** Reads and validates the requests of callers and forwards those that are accepted. */
final class CallerRequestHandler {

  /** Time after which a caller may retry at a router that is not ready, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 500;

  /**
   * Fraction of the revocation time after which the known API keys are too old. The rest covers
   * clock drift and the transit time of requests.
   */
  private static final double KEY_AGE_FRACTION = 0.95;

  /** Shortest delay of a timer in milliseconds. */
  private static final long READ_DELAY_MILLIS = 1;

  /** Time that a caller has to read the response to an invalid request, in milliseconds. */
  private static final long LINGER_MILLIS = 500;

  /**
   * Factor on the maximum event loop delay for requests of organisations that received clearly less
   * than their share.
   */
  private static final int UNDERSERVED_DELAY_FACTOR = 2;

  /**
   * Estimated arrival of the headers of a request.
   *
   * @param earliest the earliest time at which they may have arrived, in milliseconds
   * @param maxUnreadMillis the maximum time for which they may have waited unread, in milliseconds
   * @param table the routing table in force, empty if none is known
   */
  private record Arrival(long earliest, long maxUnreadMillis, Optional<RoutingTable> table) {

    /**
     * Estimates the arrival of headers that are read now.
     *
     * @param now the current time in milliseconds
     * @param delayMillis the delay of the event loop in milliseconds
     * @param table the routing table in force, empty if none is known
     * @return the arrival
     */
    private static Arrival of(long now, long delayMillis, Optional<RoutingTable> table) {
      return new Arrival(now - delayMillis, delayMillis, table);
    }
  }

  private final Vertx vertx;

  private final ForwardingContext context;

  private final GatewaySettings settings;

  private final Directory directory;

  private final CallerConnections connections;

  private final EventLoopDelay eventLoopDelay;

  private final UploadGate uploads;

  private final UniformRandomProvider random;

  /** Whether responses ask callers to close their connections. */
  private final BooleanSupplier closeConnections;

  /** Whether the router refuses new requests, since it is shutting down. */
  private final BooleanSupplier refuseRequests;

  /** Forwarded requests that have not ended. */
  private final Set<ForwardedRequest> openRequests = new HashSet<>();

  /**
   * Creates a handler.
   *
   * @param vertx the event loop
   * @param context the shared components of the router
   * @param settings the settings of the router
   * @param directory the state of the fleet
   * @param connections the connections of callers
   * @param eventLoopDelay the delay of the event loop
   * @param uploads pauses the reading of bodies
   * @param random selects services by their weights
   * @param closeConnections whether responses ask callers to close their connections
   * @param refuseRequests whether the router refuses new requests, since it is shutting down
   */
  CallerRequestHandler(
      Vertx vertx,
      ForwardingContext context,
      GatewaySettings settings,
      Directory directory,
      CallerConnections connections,
      EventLoopDelay eventLoopDelay,
      UploadGate uploads,
      UniformRandomProvider random,
      BooleanSupplier closeConnections,
      BooleanSupplier refuseRequests) {
    this.vertx = vertx;
    this.context = context;
    this.settings = settings;
    this.directory = directory;
    this.connections = connections;
    this.eventLoopDelay = eventLoopDelay;
    this.uploads = uploads;
    this.random = random;
    this.closeConnections = closeConnections;
    this.refuseRequests = refuseRequests;
  }

  /** Returns the number of forwarded requests that have not ended. */
  int openRequests() {
    return openRequests.size();
  }

  /**
   * Refuses the requests that wait for a target, so that callers can send them to another router in
   * time.
   */
  void refuseWaiting() {
    List.copyOf(openRequests).forEach(ForwardedRequest::refuseIfWaiting);
  }

  /** Ends all requests, since the router stops. */
  void endAll() {
    List.copyOf(openRequests).forEach(ForwardedRequest::endForStop);
  }

  /** Returns whether the known API keys are recent enough to serve requests that need a key. */
  boolean areKeysFresh() {
    return directory.routesFreshness().ageMillis() < settings.revocationMillis() * KEY_AGE_FRACTION;
  }

  /** Handles a request whose headers have arrived. */
  void onRequest(HttpServerRequest request) {
    final Arrival arrival =
        Arrival.of(context.clock().millis(), eventLoopDelay.millis(), directory.table());
    if (connections.isRejected(request.connection())) {
      return;
    }
    connections.onData(request.connection());
    CallerResponse response =
        new CallerResponse(request, closeConnections.getAsBoolean(), context.responseMemory());
    if (request.headers().contains(StrictRequestDecoder.AMBIGUOUS_LENGTH)) {
      reject(
          request,
          ErrorCode.BAD_REQUEST,
          OptionalLong.empty(),
          "the request has both a length and chunks");
      return;
    }
    if (refuseRequests.getAsBoolean()) {
      refuse(request, response, ErrorCode.DRAINING, ErrorCode.DRAINING.title());
      return;
    }
    Optional<RoutingTable> table = arrival.table();
    if (table.isEmpty()) {
      refuse(request, response, ErrorCode.NOT_READY, "no routes are known yet");
      return;
    }
    IngressLimits limits = table.get().limits();
    if (RequestHead.size(request) > limits.maxHeaderBytes()) {
      reject(
          request,
          ErrorCode.HEADERS_TOO_LARGE,
          OptionalLong.empty(),
          ErrorCode.HEADERS_TOO_LARGE.title());
      return;
    }
    readBody(request, response, limits.maxBodyBytes(), arrival);
  }

  private void readBody(
      HttpServerRequest request, CallerResponse response, long maxBytes, Arrival arrival) {
    RequestBody body =
        new RequestBody(context.bodyMemory().reserve(), request.getHeader("Content-Length"));
    request.response().endHandler(ignored -> body.release());
    request.handler(
        data -> {
          if (response.ended()) {
            return;
          }
          connections.onData(request.connection());
          if (body.length() + data.length() > maxBytes) {
            response.abandon();
            reject(
                request,
                ErrorCode.BODY_TOO_LARGE,
                OptionalLong.empty(),
                ErrorCode.BODY_TOO_LARGE.title());
          } else if (!body.tryAppend(data)) {
            response.abandon();
            reject(
                request,
                ErrorCode.ROUTER_OVERLOADED,
                OptionalLong.of(NOT_READY_RETRY_MILLIS),
                "the bodies of other requests use the memory");
          } else {
            uploads.onData(body, request::pause, request::resume);
          }
        });
    request.exceptionHandler(
        failure -> {
          response.abandon();
          body.release();
        });
    request.endHandler(
        ignored -> {
          if (!response.ended()) {
            connections.onRequest(request.connection());
            onBodyRead(request, response, body, arrival);
          }
        });
  }

  /** Routes, authorises and forwards a request whose body has been read. */
  private void onBodyRead(
      HttpServerRequest request, CallerResponse response, RequestBody body, Arrival arrival) {
    if (refuseRequests.getAsBoolean()) {
      // The body has arrived during a planned stop, which would cut off the response.
      refuse(request, response, ErrorCode.DRAINING, ErrorCode.DRAINING.title());
      return;
    }
    RoutingTable table = directory.table().orElseThrow();
    Optional<Route> route =
        table.route(
            Objects.requireNonNullElse(request.getHeader("Host"), ""), RequestHead.path(request));
    if (route.isEmpty()) {
      fail(request, response, ErrorCode.NOT_FOUND, "no route matches");
      return;
    }
    HeaderCodec.RequestHeaders decoded = context.codec().readRequest(request.headers());
    Optional<Organisation> organisation = decoded.apiKey().flatMap(table::organisation);
    boolean requiresApiKey = table.requiresApiKey(route.get());
    if (requiresApiKey && !areKeysFresh()) {
      refuse(request, response, ErrorCode.STORE_UNAVAILABLE, "the known keys are too old");
      return;
    }
    if (requiresApiKey && organisation.isEmpty()) {
      fail(request, response, ErrorCode.UNAUTHORIZED, ErrorCode.UNAUTHORIZED.title());
      return;
    }
    if (!directory.isComplete()) {
      refuse(request, response, ErrorCode.NOT_READY, "no targets are known yet");
      return;
    }
    forward(request, response, body, arrival, route.get(), decoded, organisation);
  }

  private void forward(
      HttpServerRequest request,
      CallerResponse response,
      RequestBody body,
      Arrival arrival,
      Route route,
      HeaderCodec.RequestHeaders decoded,
      Optional<Organisation> organisation) {
    String service = route.selectService(random.nextDouble());
    String name = organisation.map(Organisation::name).orElse("");
    if (exceedsMaxDelay(arrival, service, name)) {
      context
          .dispatcher()
          .onRefused(service, name, decoded.prompt(), RefusalReason.EVENT_LOOP_DELAY);
      String detail = "the event loop is up to " + arrival.maxUnreadMillis() + " ms behind";
      context
          .decisionLog()
          .logRejected(ErrorCode.ROUTER_OVERLOADED, detail, decoded.requestId(), name);
      respondRetryLater(request, response, ErrorCode.ROUTER_OVERLOADED, detail);
      return;
    }
    InboundRequest inbound =
        new InboundRequest(
            request.method(),
            request.uri(),
            request.headers(),
            body.data(),
            decoded,
            route,
            service,
            organisation,
            arrival.earliest(),
            Arrays.hashCode(body.data().getBytes()) * 31L
                + Objects.hash(request.method(), request.uri(), decoded.apiKey()));
    RequestRegions regions =
        new RequestRegions(
            directory::table, arrival.table(), route, organisation, decoded.apiKey());
    if (eventLoopDelay.hasBacklog()) {
      afterNextRead(() -> startUnlessDisconnected(request, response, inbound, regions, body));
    } else {
      start(request, response, inbound, regions, body);
    }
  }

  /**
   * Runs a task after the event loop has read from its connections again. A single timer may be due
   * before that, in the iteration that sets it.
   */
  private void afterNextRead(Runnable task) {
    vertx.setTimer(READ_DELAY_MILLIS, first -> vertx.setTimer(READ_DELAY_MILLIS, id -> task.run()));
  }

  /**
   * Starts a request that may have waited unread, unless its caller has disconnected meanwhile. The
   * event loop reads the end of a connection one iteration after the request that precedes it.
   */
  private void startUnlessDisconnected(
      HttpServerRequest request,
      CallerResponse response,
      InboundRequest inbound,
      RequestRegions regions,
      RequestBody body) {
    if (request.response().closed()) {
      context.decisionLog().logEnd(inbound, "caller gone", 0, 0, "disconnected while unread");
    } else {
      start(request, response, inbound, regions, body);
    }
  }

  private void start(
      HttpServerRequest request,
      CallerResponse response,
      InboundRequest inbound,
      RequestRegions regions,
      RequestBody body) {
    context.retryLimiter(inbound.service()).onRequest(inbound.arrivedAt());
    ForwardedRequest forwarded =
        new ForwardedRequest(
            context,
            vertx,
            inbound,
            response,
            regions,
            ended -> {
              openRequests.remove(ended);
              body.release();
              response.whenPassedOn(() -> connections.onRequestEnd(request.connection()));
            });
    openRequests.add(forwarded);
    forwarded.start();
  }

  /**
   * Returns whether a request is refused since it may have waited unread for too long.
   * Organisations that received clearly less than their share have a higher limit than others.
   */
  private boolean exceedsMaxDelay(Arrival arrival, String service, String organisation) {
    long limit = settings.maxEventLoopDelayMillis();
    return arrival.maxUnreadMillis() > limit * UNDERSERVED_DELAY_FACTOR
        || arrival.maxUnreadMillis() > limit
            && !context.dispatcher().isUnderserved(service, organisation);
  }

  /** Responds with an error that a retry would not change. */
  private void fail(
      HttpServerRequest request, CallerResponse response, ErrorCode code, String detail) {
    logRejected(request, code, detail);
    response.fail(code, detail, OptionalLong.empty());
    connections.onRequestEnd(request.connection());
  }

  /** Logs and refuses a request that the caller may retry. */
  private void refuse(
      HttpServerRequest request, CallerResponse response, ErrorCode code, String detail) {
    logRejected(request, code, detail);
    respondRetryLater(request, response, code, detail);
  }

  private void respondRetryLater(
      HttpServerRequest request, CallerResponse response, ErrorCode code, String detail) {
    response.fail(code, detail, OptionalLong.of(NOT_READY_RETRY_MILLIS));
    connections.onRequestEnd(request.connection());
  }

  /**
   * Rejects a request whose remaining data is not read, and closes its connection.
   *
   * @param request the request
   * @param code the code of the error
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @param detail the explanation, in one sentence
   */
  private void reject(
      HttpServerRequest request, ErrorCode code, OptionalLong retryAfterMillis, String detail) {
    logRejected(request, code, detail);
    connections.onRejected(request.connection());
    new CallerResponse(request, true, context.responseMemory())
        .fail(code, detail, retryAfterMillis);
    request.connection().shutdown(LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void logRejected(HttpServerRequest request, ErrorCode code, String detail) {
    HeaderCodec.RequestHeaders decoded = context.codec().readRequest(request.headers());
    String organisation =
        directory
            .table()
            .flatMap(table -> decoded.apiKey().flatMap(table::organisation))
            .map(Organisation::name)
            .orElse("");
    context.decisionLog().logRejected(code, detail, decoded.requestId(), organisation);
  }
}
