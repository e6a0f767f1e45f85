package org.almondslip.agent;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.almondslip.agent.AgentSettings.TargetSettings;
import org.almondslip.execution.AgentEffects;
import org.almondslip.execution.TargetCall;

/**
 * HTTP client to the target beside the agent.
 *
 * <p>Each call uses a new connection. On a kept-alive connection that the target is closing, a call
 * that never ran could not be told from one that did.
 */
final class TargetClient implements AgentEffects, AutoCloseable {

  /** Path of the load report, which every target serves. */
  private static final String LOAD_PATH = "/load";

  /** Time limit of a probe, in milliseconds. */
  private static final long PROBE_MILLIS = 1_000;

  /** Connections that may be open at the same time; slots bound them before. */
  private static final int MAX_CONNECTIONS = 65_536;

  /** Event loop of all calls. */
  private final Context context;

  /** HTTP client. */
  private final HttpClient client;

  /** Address of the target. */
  private final RequestOptions target;

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /** Calls that have not ended, by token; used on the decision thread. */
  private final Map<Long, Exchange> exchanges = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param vertx the event loops
   * @param settings the target
   * @param events the receiver of the events
   */
  TargetClient(Vertx vertx, TargetSettings settings, AgentEvent.Sink events) {
    this.context = vertx.getOrCreateContext();
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout((int) settings.connectMillis()),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    this.target = new RequestOptions().setHost(settings.host()).setPort(settings.port());
    this.events = events;
  }

  @Override
  public void start(TargetCall call) {
    Exchange exchange = new Exchange(call, context, events);
    exchanges.put(call.token(), exchange);
    exchange.start(client, target);
  }

  @Override
  public void pause(long token) {
    find(token).ifPresent(Exchange::pause);
  }

  @Override
  public void resume(long token) {
    find(token).ifPresent(Exchange::resume);
  }

  @Override
  public void cancel(long token) {
    find(token).ifPresent(Exchange::cancel);
  }

  @Override
  public void probe() {
    readLoad(answer -> events.put(work -> work.onProbe(answer.isPresent())));
  }

  /**
   * Asks for the next piece of an answer after one has been handled.
   *
   * @param token the call
   */
  void consumed(long token) {
    find(token).ifPresent(Exchange::consumed);
  }

  /**
   * Forgets a call that has ended.
   *
   * @param token the call
   */
  void forget(long token) {
    exchanges.remove(token);
  }

  /**
   * Reads the load report.
   *
   * @param receiver receives the body, or empty when the target does not answer
   */
  void readLoad(Consumer<Optional<Buffer>> receiver) {
    RequestOptions options = new RequestOptions(target).setMethod(HttpMethod.GET).setURI(LOAD_PATH);
    context.runOnContext(
        ignored ->
            client
                .request(options)
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .timeout(PROBE_MILLIS, TimeUnit.MILLISECONDS)
                .onComplete(
                    result ->
                        receiver.accept(
                            result.succeeded() ? Optional.of(result.result()) : Optional.empty())));
  }

  @Override
  public void close() {
    client.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Finds a call.
   *
   * @param token the call
   * @return the call, or empty when it has ended
   */
  private Optional<Exchange> find(long token) {
    return Optional.ofNullable(exchanges.get(token));
  }
}
