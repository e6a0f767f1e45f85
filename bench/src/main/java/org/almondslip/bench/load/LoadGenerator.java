package org.almondslip.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Sends planned requests at their times, whether or not earlier ones were answered, and checks the
 * answers. Everything runs on one event loop.
 */
public final class LoadGenerator {

  /** Time between two looks for due requests, in milliseconds. */
  private static final long TICK_MILLIS = 2;

  /** Connections to one address; far above the requests that wait at a router. */
  private static final int MAX_CONNECTIONS = 20_000;

  /** Codes of refusals by a router that shuts down or has just started. */
  private static final Set<String> NO_WORK = Set.of("draining", "not-ready");

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Timers. */
  private final Vertx vertx;

  /** Event loop of the generator. */
  private final Context context;

  /** Where requests are sent. */
  private final Entry entry;

  /** Counts and latencies. */
  private final Tally tally;

  /** HTTP client. */
  private final HttpClientAgent client;

  /** Requests that were not sent yet. */
  private final Deque<PlannedRequest> pending = new ArrayDeque<>();

  /** Start of the load, by {@link System#nanoTime}. */
  private long start;

  /**
   * Creates a generator.
   *
   * @param vertx the timers
   * @param context the event loop of the generator
   * @param entry where requests are sent
   * @param tally receives counts and latencies
   */
  public LoadGenerator(Vertx vertx, Context context, Entry entry, Tally tally) {
    this.vertx = vertx;
    this.context = context;
    this.entry = entry;
    this.tally = tally;
    this.client =
        vertx
            .httpClientBuilder()
            .with(new HttpClientOptions().setTcpNoDelay(true).setKeepAlive(true))
            .with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS))
            .build();
  }

  /**
   * Sends requests.
   *
   * @param requests the requests in the order of their times
   * @param drainMillis how long to wait for answers after the last request
   * @return completes when all are answered or the wait is over; what is then unanswered is lost
   */
  public Future<Void> run(List<PlannedRequest> requests, long drainMillis) {
    Promise<Void> done = Promise.promise();
    context.runOnContext(
        ignored -> {
          pending.addAll(requests);
          start = System.nanoTime();
          long last = requests.isEmpty() ? 0 : requests.get(requests.size() - 1).atMillis();
          vertx.setPeriodic(TICK_MILLIS, timer -> tick(timer, last + drainMillis, done));
        });
    return done.future().eventually(client::close);
  }

  /**
   * Sends the requests that are due and ends the load when all are answered.
   *
   * @param timer the timer of this method
   * @param limitMillis when to give up, since the start
   * @param done completes at the end
   */
  private void tick(long timer, long limitMillis, Promise<Void> done) {
    long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    while (!pending.isEmpty() && pending.peek().atMillis() <= now) {
      send(pending.poll());
    }
    boolean answered = pending.isEmpty() && tally.outstanding() == 0;
    if (answered || now > limitMillis) {
      vertx.cancelTimer(timer);
      done.complete();
    }
  }

  /**
   * Sends a request.
   *
   * @param planned the request
   */
  private void send(PlannedRequest planned) {
    tally.onSent(planned);
    send(new Attempt(planned, entry.toOptions(planned), entry.toOther(planned)));
  }

  /**
   * Makes an attempt. A connection that cannot be opened is certain to have run nothing.
   *
   * @param attempt the attempt
   */
  private void send(Attempt attempt) {
    client
        .request(attempt.options())
        .onFailure(failure -> onNotTaken(attempt))
        .onSuccess(
            request ->
                request
                    .send(attempt.planned().body())
                    .onFailure(failure -> onLost(attempt))
                    .onSuccess(response -> onResponse(attempt, response)));
  }

  /**
   * Sends a request to which no connection could be opened once more, or counts it as lost.
   *
   * @param attempt the attempt
   */
  private void onNotTaken(Attempt attempt) {
    if (attempt.other().isPresent()) {
      sendAgain(attempt);
    } else {
      onLost(attempt);
    }
  }

  /**
   * Sends a request once more.
   *
   * @param attempt the attempt that certainly did not run
   */
  private void sendAgain(Attempt attempt) {
    tally.onSentAgain();
    send(new Attempt(attempt.planned(), attempt.other().orElseThrow(), Optional.empty()));
  }

  /**
   * Counts a request whose connection broke.
   *
   * @param attempt the attempt
   */
  private void onLost(Attempt attempt) {
    tally.onLost(attempt.planned());
    tally.onLostAt(attempt.options().getHost());
  }

  /**
   * Reads an answer.
   *
   * @param attempt the attempt
   * @param response the head of the answer
   */
  private void onResponse(Attempt attempt, HttpClientResponse response) {
    PlannedRequest planned = attempt.planned();
    if (response.statusCode() == 200 && planned.kind().isStream()) {
      new StreamReader(attempt, response).begin();
      return;
    }
    response
        .body()
        .onFailure(failure -> onLost(attempt))
        .onSuccess(
            body -> {
              if (response.statusCode() == 200) {
                tally.onAnswer(planned, WholeChecker.check(planned, body.toString()), "");
              } else {
                onRefusal(attempt, response.statusCode(), body.toString());
              }
            });
  }

  /**
   * Counts a refusal, unless the router takes no work now and the caller may use another one.
   *
   * @param attempt the attempt
   * @param status the status
   * @param body the body
   */
  private void onRefusal(Attempt attempt, int status, String body) {
    JsonNode problem;
    try {
      problem = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      problem = MAPPER.createObjectNode();
    }
    String code = problem.path("code").asText("status-" + status);
    String ran = problem.path("ran").asText("unknown");
    if (NO_WORK.contains(code) && ran.equals("no") && attempt.other().isPresent()) {
      sendAgain(attempt);
    } else {
      tally.onRefusal(attempt.planned(), code, ran);
    }
  }

  /**
   * An attempt to send a request.
   *
   * @param planned the request
   * @param options where it is sent
   * @param other where to send it once more when it certainly did not run
   */
  private record Attempt(
      PlannedRequest planned, RequestOptions options, Optional<RequestOptions> other) {}

  /** Reads and checks one streamed answer. */
  private final class StreamReader {

    /** Attempt. */
    private final Attempt attempt;

    /** Request. */
    private final PlannedRequest planned;

    /** Head of the answer. */
    private final HttpClientResponse response;

    /** Check of the tokens. */
    private final StreamChecker checker;

    /** When the last token arrived, by {@link System#nanoTime}; 0 before the first one. */
    private long lastToken;

    /** Whether the end was counted. */
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param attempt the attempt
     * @param response the head of the answer
     */
    private StreamReader(Attempt attempt, HttpClientResponse response) {
      this.attempt = attempt;
      this.planned = attempt.planned();
      this.response = response;
      this.checker = new StreamChecker(WholeChecker.expected(planned));
    }

    /** Starts to read. */
    private void begin() {
      response.handler(buffer -> onTokens(checker.feed(buffer.toString())));
      response.endHandler(end -> onEnd());
      response.exceptionHandler(failure -> onEnd());
    }

    /**
     * Records the time of tokens.
     *
     * @param tokens the number of tokens that arrived together
     */
    private void onTokens(int tokens) {
      if (tokens == 0) {
        return;
      }
      long now = System.nanoTime();
      if (lastToken == 0) {
        long planTime = start + TimeUnit.MILLISECONDS.toNanos(planned.atMillis());
        tally.onFirstToken(TimeUnit.NANOSECONDS.toMicros(now - planTime));
      } else {
        tally.onNextToken(TimeUnit.NANOSECONDS.toMicros(now - lastToken));
      }
      lastToken = now;
    }

    /** Counts the answer once. */
    private void onEnd() {
      if (!ended) {
        ended = true;
        tally.onAnswer(planned, checker.verdict(), checker.errorCode());
        if (checker.verdict() == Verdict.INCOMPLETE) {
          tally.onLostAt(attempt.options().getHost());
        }
      }
    }
  }
}
