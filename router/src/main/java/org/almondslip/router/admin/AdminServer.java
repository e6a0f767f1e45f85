package org.almondslip.router.admin;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.almondslip.error.ErrorCode;

/** Serves the operators' interface on its own address. */
public final class AdminServer implements AutoCloseable {

  /** Start of all paths. */
  static final String ROOT = "/admin/v1/";

  /** Largest body of a ticket, in bytes; several thousand objects. */
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Time after which a connection without traffic is closed, in seconds. */
  private static final int IDLE_SECONDS = 30;

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Server of the operators' address. */
  private final HttpServer server;

  /** Key of the operators. */
  private final OperatorKey key;

  /** Operations of the interface. */
  private final AdminService service;

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx the event loop
   * @param key the key of the operators
   * @param service the operations of the interface
   */
  public AdminServer(Vertx vertx, OperatorKey key, AdminService service) {
    HttpServerOptions options =
        new HttpServerOptions().setIdleTimeout(IDLE_SECONDS).setIdleTimeoutUnit(TimeUnit.SECONDS);
    this.key = key;
    this.service = service;
    this.server = vertx.createHttpServer(options).requestHandler(this::receive);
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
   * Checks the key of a request and reads its body up to the limit.
   *
   * @param request the request
   */
  private void receive(HttpServerRequest request) {
    AdminReply reply = new AdminReply(request);
    if (!key.matches(Optional.ofNullable(request.getHeader("Authorization")))) {
      reply.problem(ErrorCode.UNAUTHORIZED, "an operator key is required");
      request.resume();
      return;
    }
    Buffer body = Buffer.buffer();
    request.handler(
        part -> {
          if (body.length() + part.length() <= MAX_BODY_BYTES) {
            body.appendBuffer(part);
          } else {
            reply.problem(ErrorCode.BODY_TOO_LARGE, "at most " + MAX_BODY_BYTES + " bytes");
          }
        });
    request.endHandler(end -> dispatch(request, body.toString(), reply));
  }

  /**
   * Runs the operation of a request. A fault is answered and logged without the body.
   *
   * @param request the request
   * @param body the body
   * @param reply the reply
   */
  private void dispatch(HttpServerRequest request, String body, AdminReply reply) {
    if (reply.isSent()) {
      return;
    }
    try {
      if (!request.path().startsWith(ROOT)) {
        reply.problem(ErrorCode.NOT_FOUND, request.path());
      } else if (request.method().equals(HttpMethod.POST)) {
        post(request, body, reply);
      } else if (request.method().equals(HttpMethod.GET)) {
        get(request, reply);
      } else {
        reply.problem(ErrorCode.METHOD_NOT_ALLOWED, "GET and POST are allowed");
      }
    } catch (NumberFormatException e) {
      reply.problem(ErrorCode.BAD_REQUEST, "a parameter is not a whole number");
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("operator request to %s failed", request.path());
      reply.problem(ErrorCode.INTERNAL, "the request could not be handled");
    }
  }

  /**
   * Runs an operation that changes or checks something.
   *
   * @param request the request
   * @param body the body
   * @param reply the reply
   */
  private void post(HttpServerRequest request, String body, AdminReply reply) {
    String file = Optional.ofNullable(request.getParam("file")).orElse("ticket");
    switch (request.path().substring(ROOT.length())) {
      case "tickets" -> service.apply(file, body, reply);
      case "tickets/validate" -> service.validate(file, body, reply);
      default -> reply.problem(ErrorCode.NOT_FOUND, request.path());
    }
  }

  /**
   * Runs an operation that reads.
   *
   * @param request the request
   * @param reply the reply
   */
  private void get(HttpServerRequest request, AdminReply reply) {
    String[] parts = request.path().substring(ROOT.length()).split("/");
    if (parts[0].equals("status") && parts.length == 1) {
      service.status(reply);
    } else if (parts[0].equals("audit") && parts.length == 1) {
      service.audit(AuditQuery.of(request), reply);
    } else if (parts[0].equals("objects") && parts.length == 2) {
      service.list(parts[1], reply);
    } else if (parts[0].equals("objects") && parts.length == 3) {
      service.show(parts[1], parts[2], reply);
    } else {
      reply.problem(ErrorCode.NOT_FOUND, request.path());
    }
  }
}
