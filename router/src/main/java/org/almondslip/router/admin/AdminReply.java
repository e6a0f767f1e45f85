package org.almondslip.router.admin;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicBoolean;
import org.almondslip.error.ErrorCode;

/** Reply to one request; may be sent from any thread, and only the first one counts. */
final class AdminReply {

  /** Seconds after which a call that found the table service down may be repeated. */
  private static final String RETRY_SECONDS = "2";

  /** Request to answer. */
  private final HttpServerRequest request;

  /** Context of the request's connection. */
  private final Context context = Vertx.currentContext();

  /** Whether a reply has been given. */
  private final AtomicBoolean sent = new AtomicBoolean();

  /**
   * Creates a reply. It must be called on the event loop of the request.
   *
   * @param request the request to answer
   */
  AdminReply(HttpServerRequest request) {
    this.request = request;
  }

  /**
   * Returns whether a reply has been given.
   *
   * @return true after the first reply
   */
  boolean isSent() {
    return sent.get();
  }

  /**
   * Answers with a document.
   *
   * @param json the document
   */
  void ok(JsonObject json) {
    send(200, "application/json", json);
  }

  /**
   * Answers with an error.
   *
   * @param code the code of the error
   * @param detail what happened
   */
  void problem(ErrorCode code, String detail) {
    problem(AdminDocuments.problem(code, detail));
  }

  /**
   * Answers with a problem document.
   *
   * @param json the document
   */
  void problem(JsonObject json) {
    send(json.getInteger("status"), "application/problem+json", json);
  }

  /**
   * Sends the reply unless one has been sent.
   *
   * @param status the status
   * @param type the type of the document
   * @param json the document
   */
  private void send(int status, String type, JsonObject json) {
    if (sent.compareAndSet(false, true)) {
      context.runOnContext(ignored -> write(status, type, json));
    }
  }

  /**
   * Writes the reply if the connection is still open.
   *
   * @param status the status
   * @param type the type of the document
   * @param json the document
   */
  private void write(int status, String type, JsonObject json) {
    if (!request.response().closed()) {
      request.response().setStatusCode(status).putHeader("Content-Type", type);
      if (status == ErrorCode.STORE_UNAVAILABLE.status()) {
        request.response().putHeader("Retry-After", RETRY_SECONDS);
      }
      request.response().end(json.toBuffer());
    }
  }
}
