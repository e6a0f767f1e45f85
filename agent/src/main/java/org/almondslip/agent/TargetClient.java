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
import org.almondslip.http.HttpClients;

/**
 * HTTP client for the target of the agent.
 *
 * <p>Each call opens a new connection. On a keep-alive connection that the target is closing, a
 * call that was never executed could not be distinguished from one that was.
 */
final class TargetClient implements AgentEffects, AutoCloseable {

  /** Path of the load report, which every target must serve. */
  private static final String LOAD_PATH = "/load";

  /** Time limit of a probe, in milliseconds. */
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  /** Maximum number of open connections; never reached, since slots limit the calls first. */
  private static final int MAX_CONNECTIONS = 65_536;

  /** Event loop of all calls. */
  private final Context context;

  /** HTTP client. */
  private final HttpClient client;

  /** Address of the target. */
  private final RequestOptions target;

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /** Open calls by token; confined to the event thread. */
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
        HttpClients.newPooled(
            vertx,
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
   * Requests the next chunk of a response after the previous one has been handled.
   *
   * @param token the token of the call
   */
  void onChunkHandled(long token) {
    find(token).ifPresent(Exchange::onChunkHandled);
  }

  /**
   * Removes a call that has ended.
   *
   * @param token the token of the call
   */
  void remove(long token) {
    exchanges.remove(token);
  }

  /**
   * Reads the load report.
   *
   * @param receiver receives the body, or empty if the request fails or times out
   */
  void readLoad(Consumer<Optional<Buffer>> receiver) {
    RequestOptions options = new RequestOptions(target).setMethod(HttpMethod.GET).setURI(LOAD_PATH);
    context.runOnContext(
        ignored ->
            client
                .request(options)
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
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
   * @param token the token of the call
   * @return the call, or empty if it has ended
   */
  private Optional<Exchange> find(long token) {
    return Optional.ofNullable(exchanges.get(token));
  }
}
