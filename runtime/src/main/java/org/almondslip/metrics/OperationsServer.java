package org.almondslip.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Serves {@code /health}, {@code /ready} and {@code /metrics} on the operations address. */
public final class OperationsServer implements AutoCloseable {

  private final HttpServer server;

  private final PrometheusRegistry registry;

  private final Readiness readiness;

  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx the event loops that run the server
   * @param registry the metrics of the process
   * @param readiness the readiness of the process
   */
  public OperationsServer(Vertx vertx, PrometheusRegistry registry, Readiness readiness) {
    this.registry = registry;
    this.readiness = readiness;
    this.server = vertx.createHttpServer().requestHandler(this::handle);
  }

  /**
   * Starts to listen and blocks until the port is bound. Throws a {@link
   * java.util.concurrent.CompletionException} if it cannot be bound.
   *
   * @param address the address as {@code ip:port}
   * @return the bound port
   */
  public int listen(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return server
        .listen(port, address.substring(0, colon))
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  private void handle(HttpServerRequest request) {
    switch (request.path()) {
      case "/health" -> request.response().end("ok\n");
      case "/ready" -> respondReadiness(request);
      case "/metrics" -> respondMetrics(request);
      default -> request.response().setStatusCode(404).end();
    }
  }

  /** Responds with 200 if the process accepts work, or with 503 and the reason why it does not. */
  private void respondReadiness(HttpServerRequest request) {
    Optional<String> reason = readiness.unreadyReason();
    request
        .response()
        .setStatusCode(reason.isPresent() ? 503 : 200)
        .end(reason.orElse("ready") + "\n");
  }

  /** Responds with all metrics in the Prometheus text format. */
  private void respondMetrics(HttpServerRequest request) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      writer.write(text, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    request
        .response()
        .putHeader("Content-Type", writer.getContentType())
        .end(Buffer.buffer(text.toByteArray()));
  }
}
