package org.almondslip.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** HTTP server of a stand-in that answers each request as a whole and injects faults. */
public final class HttpStandin implements Standin {

  /** Name that the settings give it. */
  private final String name;

  /** Address to listen on. */
  private final String address;

  /** Event loop. */
  private final Vertx vertx;

  /** What the stand-in does. */
  private final Service service;

  /** Server. */
  private final HttpServer server;

  /** Faults. */
  private final FaultSwitch faults;

  /** What a stand-in does with a request. */
  @FunctionalInterface
  public interface Service {

    /**
     * Runs a request.
     *
     * @param request the request
     * @return the answer
     */
    Answer handle(Request request);
  }

  /**
   * A whole request.
   *
   * @param method the name of the method
   * @param path the decoded path
   * @param http the request with its parameters
   * @param body the body
   */
  public record Request(String method, String path, HttpServerRequest http, Buffer body) {

    /**
     * Returns a parameter of the query.
     *
     * @param key the name of the parameter
     * @return the value, empty when it is missing
     */
    public String parameter(String key) {
      return Optional.ofNullable(http.getParam(key)).orElse("");
    }
  }

  /**
   * A whole answer.
   *
   * @param status the status
   * @param body the body
   */
  public record Answer(int status, Buffer body) {

    /**
     * Creates an answer without a body.
     *
     * @param status the status
     * @return the answer
     */
    public static Answer of(int status) {
      return new Answer(status, Buffer.buffer());
    }
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param name the name that the settings give it
   * @param address the address to listen on, as {@code ip:port}
   * @param vertx the event loop
   * @param service what the stand-in does
   */
  public HttpStandin(String name, String address, Vertx vertx, Service service) {
    this.name = name;
    this.address = address;
    this.vertx = vertx;
    this.service = service;
    this.faults = new FaultSwitch(name.hashCode());
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setCompressionSupported(true))
            .requestHandler(this::receive);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public void start() {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    server.listen(port, host).toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Returns the address that {@link #start} has bound.
   *
   * @return the address as {@code ip:port}
   */
  public String address() {
    return address.substring(0, address.lastIndexOf(':') + 1) + server.actualPort();
  }

  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Receives a request and reads its body.
   *
   * @param http the request
   */
  private void receive(HttpServerRequest http) {
    http.body()
        .onSuccess(
            body -> {
              Request request = new Request(http.method().name(), decodedPath(http), http, body);
              if (http.path().equals("/faults")) {
                changeFaults(request);
              } else {
                injectFault(request);
              }
            });
  }

  /**
   * Returns the path without percent encoding.
   *
   * @param http the request
   * @return the path
   */
  private static String decodedPath(HttpServerRequest http) {
    return io.netty.handler.codec.http.QueryStringDecoder.decodeComponent(
        http.path().replace("+", "%2B"));
  }

  /**
   * Reads or replaces the faults.
   *
   * @param request the request
   */
  private void changeFaults(Request request) {
    try {
      if (request.method().equals("POST")) {
        faults.replace(FaultSwitch.parse(request.body().toString()));
      }
      send(request, new Answer(200, faults.toJson().toBuffer()));
    } catch (RuntimeException e) {
      send(request, new Answer(400, Buffer.buffer(String.valueOf(e.getMessage()))));
    }
  }

  /**
   * Handles a request with the fault that hits it, if any.
   *
   * @param request the request
   */
  private void injectFault(Request request) {
    Optional<Fault> fault = faults.next(request.http().connection(), request.path());
    long delay = fault.map(Fault::delayMillis).orElse(0L);
    if (delay > 0) {
      vertx.setTimer(delay, id -> run(request, fault));
    } else {
      run(request, fault);
    }
  }

  /**
   * Runs a request and answers as its fault demands.
   *
   * @param request the request
   * @param fault the fault
   */
  private void run(Request request, Optional<Fault> fault) {
    Answer answer = fault.map(f -> f.mode().runs()).orElse(true) ? serve(request) : Answer.of(503);
    switch (fault.map(Fault::mode).orElse(FaultMode.SLOW)) {
      case FAIL, SLOW -> send(request, answer);
      case LOSE -> request.http().connection().close();
      default -> {
        // The connection stays open without an answer.
      }
    }
  }

  /**
   * Runs a request; a request that cannot be read is refused.
   *
   * @param request the request
   * @return the answer
   */
  private Answer serve(Request request) {
    try {
      return service.handle(request);
    } catch (RuntimeException e) {
      return new Answer(400, Buffer.buffer(String.valueOf(e.getMessage())));
    }
  }

  /**
   * Sends an answer.
   *
   * @param request the request
   * @param answer the answer
   */
  private static void send(Request request, Answer answer) {
    if (!request.http().response().ended()) {
      request.http().response().setStatusCode(answer.status()).end(answer.body());
    }
  }
}
