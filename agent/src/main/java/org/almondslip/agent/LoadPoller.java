package org.almondslip.agent;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.OptionalInt;
import org.almondslip.time.Clock;

/** Reads the load report of the target once a second and keeps its age. */
final class LoadPoller implements AutoCloseable {

  /** Interval between polls, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_000;

  /** Event loops. */
  private final Vertx vertx;

  /** Client of the target. */
  private final TargetClient client;

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /** Source of time. */
  private final Clock clock;

  /** Arrival time of the last valid report, or the creation time, in milliseconds. */
  private volatile long lastReportMillis;

  /** Identifier of the Vert.x timer. */
  private long timerId;

  /**
   * Creates a poller that has not started.
   *
   * @param vertx the event loops
   * @param client the client of the target
   * @param events the receiver of the events
   * @param clock the source of time
   */
  LoadPoller(Vertx vertx, TargetClient client, AgentEvent.Sink events, Clock clock) {
    this.vertx = vertx;
    this.client = client;
    this.events = events;
    this.clock = clock;
    this.lastReportMillis = clock.millis();
  }

  /** Starts polling. */
  void start() {
    timerId = vertx.setPeriodic(INTERVAL_MILLIS, id -> client.readLoad(this::onReport));
  }

  /**
   * Returns the age of the last report.
   *
   * @return the time since it arrived, or since the start when none has, in milliseconds
   */
  long ageMillis() {
    return clock.millis() - lastReportMillis;
  }

  @Override
  public void close() {
    vertx.cancelTimer(timerId);
  }

  /**
   * Handles a report.
   *
   * @param report the report, or empty if the target did not answer
   */
  private void onReport(Optional<Buffer> report) {
    OptionalInt load = report.map(LoadPoller::load).orElse(OptionalInt.empty());
    if (load.isPresent()) {
      lastReportMillis = clock.millis();
      events.put(work -> work.onLoad(load.getAsInt()));
    }
  }

  /**
   * Parses the number of requests at the target from a report.
   *
   * @param report the report
   * @return the sum of running and waiting requests, or empty if the report is invalid
   */
  static OptionalInt load(Buffer report) {
    try {
      JsonObject json = report.toJsonObject();
      int load = json.getInteger("running", 0) + json.getInteger("waiting", 0);
      return OptionalInt.of(Math.max(0, load));
    } catch (DecodeException | ClassCastException e) {
      return OptionalInt.empty();
    }
  }
}
