package org.almondslip.agent;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.OptionalInt;
import org.almondslip.time.Clock;

/** Reads the load report of the target once a second and keeps its age. */
final class LoadPoll implements AutoCloseable {

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

  /** When the last report arrived, in milliseconds. */
  private volatile long reportedAt;

  /** Timer of the polls. */
  private long timer;

  /**
   * Creates a poll that has not started.
   *
   * @param vertx the event loops
   * @param client the client of the target
   * @param events the receiver of the events
   * @param clock the source of time
   */
  LoadPoll(Vertx vertx, TargetClient client, AgentEvent.Sink events, Clock clock) {
    this.vertx = vertx;
    this.client = client;
    this.events = events;
    this.clock = clock;
    this.reportedAt = clock.millis();
  }

  /** Starts polling. */
  void start() {
    timer = vertx.setPeriodic(INTERVAL_MILLIS, id -> client.readLoad(this::onReport));
  }

  /**
   * Returns the age of the last report.
   *
   * @return the time since it arrived, or since the start when none has, in milliseconds
   */
  long ageMillis() {
    return clock.millis() - reportedAt;
  }

  @Override
  public void close() {
    vertx.cancelTimer(timer);
  }

  /**
   * Takes a report.
   *
   * @param report the report, empty when the target did not answer
   */
  private void onReport(Optional<Buffer> report) {
    OptionalInt load = report.map(LoadPoll::load).orElse(OptionalInt.empty());
    if (load.isPresent()) {
      reportedAt = clock.millis();
      events.put(work -> work.onLoad(load.getAsInt()));
    }
  }

  /**
   * Reads the requests at the target from a report.
   *
   * @param report the report
   * @return the running and waiting requests, or empty when the report is not valid
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
