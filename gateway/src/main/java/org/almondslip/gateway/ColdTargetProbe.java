package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.http.InvalidResponseException;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Checks the health of cold targets, which tells how long they stay cold.
 *
 * <p>Addresses targets that stay idle although they are warm again, and targets that are taken to
 * be warm too early. Only the routers that may send to a cold target check it.
 */
final class ColdTargetProbe {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of a check in milliseconds, below the interval, so that one check runs at a time. */
  private static final long TIMEOUT_MILLIS = 900;

  private static final int OK_STATUS = 200;

  private final Vertx vertx;

  private final Clock clock;

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  private final HeaderCodec codec;

  /** Number of checks by outcome. */
  private final Map<ProbeOutcome, Long> outcomes = new EnumMap<>(ProbeOutcome.class);

  /**
   * Creates a probe.
   *
   * @param vertx the event loop
   * @param clock the source of time
   * @param dispatcher the dispatcher that knows the targets
   * @param connections the connections to targets
   * @param codec reads the headers of responses
   */
  ColdTargetProbe(
      Vertx vertx,
      Clock clock,
      Dispatcher dispatcher,
      TargetConnectionPool connections,
      HeaderCodec codec) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.codec = codec;
  }

  /** Starts the checks that are due. */
  void tick() {
    long now = clock.millis();
    for (TargetLoad target : dispatcher.targets()) {
      if (target.isInService() && target.pace().startProbe(now)) {
        target.pace().healthPath().ifPresent(path -> probe(target, path));
      }
    }
  }

  /** Returns the number of checks by outcome. */
  Map<ProbeOutcome, Long> outcomes() {
    return outcomes;
  }

  private void probe(TargetLoad target, String path) {
    long sentAt = clock.millis();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setURI(path)
            .setHost(target.record().host())
            .setPort(target.record().port());
    connections
        .connect(target.record())
        .compose(
            lease ->
                lease
                    .request(options)
                    .compose(HttpClientRequest::send)
                    .compose(ColdTargetProbe::awaitEnd)
                    .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .onComplete(ignored -> lease.discard()))
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .map(response -> read(target, response, sentAt))
        .otherwise(failure -> onFailure(target, failure))
        .onSuccess(outcome -> record(target, outcome));
  }

  /** Returns the response once it is complete. A head whose body is broken off says nothing. */
  private static Future<HttpClientResponse> awaitEnd(HttpClientResponse response) {
    Future<Void> end = response.end();
    response.resume();
    return end.map(response);
  }

  /** Applies a response. */
  private ProbeOutcome read(TargetLoad target, HttpClientResponse response, long sentAt) {
    // Without an id, the response may be that of another process at an address that is used again.
    boolean named =
        codec.readTargetId(response.headers()).map(target.record().id()::equals).orElse(false);
    if (!named) {
      return ProbeOutcome.OTHER_INSTANCE;
    }
    HeaderCodec.ResponseHeaders headers = codec.readResponse(response.headers());
    OptionalLong coldMillis = headers.coldMillis();
    if (response.statusCode() != OK_STATUS || coldMillis.isEmpty()) {
      return ProbeOutcome.NO_STATEMENT;
    }
    target.pace().onHealth(coldMillis.getAsLong(), sentAt, clock.millis());
    dispatcher.dispatchWaiting(target.record().service());
    return coldMillis.getAsLong() == 0 ? ProbeOutcome.WARM : ProbeOutcome.COLD;
  }

  private ProbeOutcome onFailure(TargetLoad target, Throwable failure) {
    if (failure instanceof TimeoutException) {
      return ProbeOutcome.TIMEOUT;
    }
    if (failure instanceof InvalidResponseException) {
      logger.atWarning().log(
          "health check of target %s: %s", target.record().id(), failure.getMessage());
      return ProbeOutcome.INVALID_RESPONSE;
    }
    // A target that refuses connections is down, and cold from its next start on.
    target.pace().onConnectionFailure(clock.millis());
    return ProbeOutcome.NOT_CONNECTED;
  }

  private void record(TargetLoad target, ProbeOutcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
    logger.atInfo().log("health check of target %s: %s", target.record().id(), outcome.label());
  }
}
