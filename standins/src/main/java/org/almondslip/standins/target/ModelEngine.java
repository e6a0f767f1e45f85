package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Model engine that batches continuously. It admits every request; each step gives every stream one
 * token and takes longer in proportion when more streams run than the engine has slots.
 */
final class ModelEngine implements TargetServer.Target {

  /** Header by which a repeated request names the last event that its caller has. */
  private static final String LAST_EVENT_ID = "Last-Event-ID";

  /** Settings. */
  private final EngineSettings settings;

  /** Timers. */
  private final Vertx vertx;

  /** Time. */
  private final Clock clock;

  /** Prefix cache. */
  private final PrefixCache cache;

  /** Control commands. */
  private final ControlCommands commands;

  /** Slot time by organisation. */
  private final UsageLedger ledger = new UsageLedger();

  /** Streams in the batch. */
  private final Set<EngineStream> batch = new LinkedHashSet<>();

  /** Earlier samples of the load, oldest first. */
  private final Deque<Sample> samples = new ArrayDeque<>();

  /** Whether the timer of the next step is set. */
  private boolean stepping;

  /**
   * Load at a time.
   *
   * @param time when it was taken, in monotonic milliseconds
   * @param running the number of streams
   */
  private record Sample(long time, int running) {}

  /**
   * Creates an engine.
   *
   * @param settings the settings
   * @param vertx the timers
   * @param clock the time
   */
  ModelEngine(EngineSettings settings, Vertx vertx, Clock clock) {
    this.settings = settings;
    this.vertx = vertx;
    this.clock = clock;
    this.cache = new PrefixCache(settings.cacheBlocks());
    this.commands = new ControlCommands(settings.fencingChecked());
  }

  @Override
  public void handle(Call call, TargetServer.FaultSource faults) {
    switch (call.route()) {
      case "POST /v1/chat/completions" -> admit(call, faults);
      case "GET /load" -> call.end(200, load());
      case "GET /control" -> call.end(200, commands.toJson());
      case "POST /control/load" -> commands.handle(call, vertx, settings.loadMillis());
      default -> call.end(404, error("nothing exists at this path"));
    }
  }

  @Override
  public ObjectNode usage() {
    return ledger.toJson(clock.millis()).put("slots", settings.slots());
  }

  @Override
  public void crash() {
    List.copyOf(batch).forEach(this::remove);
    cache.clear();
    samples.clear();
  }

  /**
   * Takes a request into the batch.
   *
   * @param call the call
   * @param faults access to the faults in force
   */
  private void admit(Call call, TargetServer.FaultSource faults) {
    Optional<ChatRequest> parsed = ChatRequest.parse(call.body());
    Optional<Integer> lastEventId = lastEventId(call);
    if (parsed.isEmpty() || lastEventId.isEmpty()) {
      call.end(400, error("not a valid chat-completions request"));
      return;
    }
    int uncached = cache.admit(parsed.get().prompt());
    int prefillSteps = uncached / settings.prefillTokensPerStep();
    UsageLedger.Run run = ledger.begin(call.organisation(), clock.millis());
    EngineStream stream =
        new EngineStream(call, parsed.get(), run, prefillSteps, lastEventId.get());
    sample();
    batch.add(stream);
    call.onDisconnect(() -> remove(stream));
    stream.begin();
    scheduleStep(faults);
  }

  /**
   * Reads the last event that the caller has.
   *
   * @param call the call
   * @return the id, 0 when the header is missing, or empty when it is not a number
   */
  private static Optional<Integer> lastEventId(Call call) {
    try {
      return Optional.of(Math.max(0, Integer.parseInt(call.header(LAST_EVENT_ID).orElse("0"))));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /**
   * Sets the timer of the next step unless it is set.
   *
   * @param faults access to the faults in force
   */
  private void scheduleStep(TargetServer.FaultSource faults) {
    if (!stepping && !batch.isEmpty()) {
      stepping = true;
      double crowding = Math.max(1.0, (double) batch.size() / settings.slots());
      double millis = settings.stepMillis() * crowding * faults.faults().slowFactor();
      vertx.setTimer(Math.round(millis), timer -> step(faults));
    }
  }

  /**
   * Makes one step of all streams.
   *
   * @param faults access to the faults in force
   */
  private void step(TargetServer.FaultSource faults) {
    stepping = false;
    for (EngineStream stream : List.copyOf(batch)) {
      if (batch.contains(stream) && stream.step(faults)) {
        remove(stream);
      }
    }
    scheduleStep(faults);
  }

  /**
   * Takes a stream out of the batch.
   *
   * @param stream the stream
   */
  private void remove(EngineStream stream) {
    if (batch.contains(stream)) {
      sample();
      batch.remove(stream);
      ledger.end(stream.run(), clock.millis());
    }
  }

  /** Records the load before it changes and drops samples that are no longer needed. */
  private void sample() {
    long now = clock.millis();
    samples.addLast(new Sample(now, batch.size()));
    while (samples.size() > 1 && samples.peekFirst().time() < now - settings.loadLagMillis()) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the load as it was some time ago.
   *
   * @return the JSON form
   */
  private ObjectNode load() {
    long then = clock.millis() - settings.loadLagMillis();
    int running =
        samples.stream()
            .filter(sample -> sample.time() > then)
            .findFirst()
            .map(Sample::running)
            .orElse(batch.size());
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("running", running).put("slots", settings.slots());
    return json.put("cachedBlocks", cache.size()).put("cacheBlocks", settings.cacheBlocks());
  }

  /**
   * Returns an error message.
   *
   * @param detail what is wrong
   * @return the JSON form
   */
  private static ObjectNode error(String detail) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.putObject("error").put("message", detail);
    return json;
  }
}
