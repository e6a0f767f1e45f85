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

  /** Server of the operations address. */
  private final HttpServer server;

  /** Metrics of the process. */
  private final PrometheusRegistry registry;

  /** Readiness of the process. */
  private final Readiness readiness;

  /** Writer of the text format. */
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx the event loop
   * @param registry the metrics of the process
   * @param readiness the readiness of the process
   */
  public OperationsServer(Vertx vertx, PrometheusRegistry registry, Readiness readiness) {
    this.registry = registry;
    this.readiness = readiness;
    this.server = vertx.createHttpServer().requestHandler(this::handle);
  }

  /**
   * Starts to listen.
   *
   * @param address the address as {@code ip:port}
   * @return the port that was bound
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

  /**
   * Answers a request.
   *
   * @param request the request
   */
  private void handle(HttpServerRequest request) {
    switch (request.path()) {
      case "/health" -> request.response().end("ok\n");
      case "/ready" -> ready(request);
      case "/metrics" -> metrics(request);
      default -> request.response().setStatusCode(404).end();
    }
  }

  /**
   * Answers whether the process takes work.
   *
   * @param request the request
   */
  private void ready(HttpServerRequest request) {
    Optional<String> reason = readiness.unreadyReason();
    request
        .response()
        .setStatusCode(reason.isPresent() ? 503 : 200)
        .end(reason.orElse("ready") + "\n");
  }

  /**
   * Answers with all metrics.
   *
   * @param request the request
   */
  private void metrics(HttpServerRequest request) {
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
