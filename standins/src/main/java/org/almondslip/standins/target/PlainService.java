package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import org.almondslip.time.Clock;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Plain service that records every run. Records survive a crash, as the effects of a real service
 * do.
 */
final class PlainService implements TargetServer.Target {

  /** Runs that are recorded; later ones are counted only, so that memory stays bounded. */
  private static final int MAX_RECORDED_RUNS = 200_000;

  /** Settings. */
  private final ServiceSettings settings;

  /** Timers. */
  private final Vertx vertx;

  /** Time. */
  private final Clock clock;

  /** Slot time by organisation. */
  private final UsageLedger ledger = new UsageLedger();

  /** Records of all runs, in the order in which they began. */
  private final ArrayNode runs = JsonNodeFactory.instance.arrayNode();

  /** Number of runs that began. */
  private long begun;

  /**
   * Creates a service.
   *
   * @param settings the settings
   * @param vertx the timers
   * @param clock the time
   */
  PlainService(ServiceSettings settings, Vertx vertx, Clock clock) {
    this.settings = settings;
    this.vertx = vertx;
    this.clock = clock;
  }

  @Override
  public void handle(Call call, TargetServer.FaultSource faults) {
    switch (call.route()) {
      case "GET /runs" -> call.end(200, runs());
      case "GET /load" -> call.end(200, load());
      default -> run(call, faults);
    }
  }

  /**
   * Lists all runs.
   *
   * @return the JSON form
   */
  private ObjectNode runs() {
    ObjectNode json = JsonNodeFactory.instance.objectNode().put("begun", begun);
    json.set("runs", runs);
    return json;
  }

  /**
   * Returns the present load.
   *
   * @return the JSON form
   */
  private ObjectNode load() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    return json.put("running", ledger.running()).put("slots", settings.slots());
  }

  @Override
  public ObjectNode usage() {
    return ledger.toJson(clock.millis()).put("slots", settings.slots());
  }

  @Override
  public void crash() {
    // Runs in progress keep their slot time: their timers still end them.
  }

  /**
   * Records a run and answers after its time. A disconnect does not stop it, as an order that has
   * reached the service takes effect.
   *
   * @param call the call
   * @param faults access to the faults in force
   */
  private void run(Call call, TargetServer.FaultSource faults) {
    ObjectNode record = record(call);
    UsageLedger.Run run = ledger.begin(call.organisation(), clock.millis());
    long millis = Math.round(duration(call.body()) * faults.faults().slowFactor());
    vertx.setTimer(
        Math.max(1, millis),
        timer -> {
          ledger.end(run, clock.millis());
          call.end(200, record);
        });
  }

  /**
   * Records a run.
   *
   * @param call the call
   * @return the record
   */
  private ObjectNode record(Call call) {
    ObjectNode record = JsonNodeFactory.instance.objectNode();
    record.put("number", ++begun).put("method", call.method()).put("path", call.uri());
    record.put("organisation", call.organisation());
    record.put("idempotencyKey", call.header("Idempotency-Key").orElse(""));
    record.put("body", call.body());
    if (runs.size() < MAX_RECORDED_RUNS) {
      runs.add(record);
    }
    return record;
  }

  /**
   * Returns the time of a run: half to one and a half of the mean, by a hash of the body.
   *
   * @param body the body
   * @return the time in milliseconds
   */
  private double duration(String body) {
    int hash = MurmurHash3.hash32x86(body.getBytes(StandardCharsets.UTF_8));
    return settings.runMillis() * (0.5 + (hash & 0xFFFF) / 65_536.0);
  }
}
