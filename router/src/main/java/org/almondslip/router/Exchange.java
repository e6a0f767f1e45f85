package org.almondslip.router;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Set;
import org.almondslip.error.ErrorCode;
import org.almondslip.logging.JsonLines;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Header;
import org.almondslip.routing.CallerRequest;
import org.almondslip.routing.Outcome;
import org.almondslip.time.Clock;

/**
 * Answer to one admitted request of a caller. Everything but {@link #run} and {@link #unreadBytes}
 * runs on the event loop of the caller's connection.
 */
final class Exchange {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Lowest status of faults that operators should see. */
  private static final int SERVER_ERRORS = 500;

  /** Status of an answer that is a stream of events. */
  private static final int OK = 200;

  /** Statuses without a body. */
  private static final Set<Integer> BODILESS = Set.of(204, 304);

  /** Number of the caller. */
  private final long caller;

  /** Organisation of the caller. */
  private final String organisation;

  /** Request of the caller. */
  private final HttpServerRequest request;

  /** Answer to the caller. */
  private final HttpServerResponse response;

  /** Event loop. */
  private final Context context;

  /** All open exchanges. */
  private final Exchanges exchanges;

  /** Receiver of the events. */
  private final RequestSink sink;

  /** Source of time. */
  private final Clock clock;

  /** Called when the whole answer has left for the caller. */
  private final Runnable onSent;

  /** Whether the result is final. Its last bytes may still be on their way to the caller. */
  private volatile boolean ended;

  /** Whether everything has been released. */
  private boolean released;

  /** Whether the status has been sent. */
  private boolean headSent;

  /** Whether the answer is a stream of events. */
  private boolean eventStream;

  /** Time at which the caller last read something, in milliseconds. */
  private long progressAt;

  /** Bytes that the caller has not read. */
  private volatile long unread;

  /**
   * Creates an exchange.
   *
   * @param caller the number of the caller
   * @param organisation the organisation of the caller
   * @param request the request of the caller
   * @param vertx the event loops
   * @param exchanges all open exchanges
   * @param sink the receiver of the events
   * @param clock the source of time
   * @param onSent called when the whole answer has left for the caller
   */
  Exchange(
      long caller,
      String organisation,
      HttpServerRequest request,
      Vertx vertx,
      Exchanges exchanges,
      RequestSink sink,
      Clock clock,
      Runnable onSent) {
    this.caller = caller;
    this.organisation = organisation;
    this.request = request;
    this.response = request.response();
    this.context = vertx.getOrCreateContext();
    this.exchanges = exchanges;
    this.sink = sink;
    this.clock = clock;
    this.onSent = onSent;
  }

  /**
   * Returns the number of the caller.
   *
   * @return the number
   */
  long caller() {
    return caller;
  }

  /**
   * Hands the request to the decisions, or refuses it when there is no room.
   *
   * @param callerRequest the request
   * @param taken called when the decisions have counted the request or it is refused
   */
  void start(CallerRequest callerRequest, Runnable taken) {
    exchanges.add(this);
    response.closeHandler(closed -> onClose());
    response.exceptionHandler(failure -> onClose());
    if (!sink.arrived(callerRequest, taken)) {
      taken.run();
      end(
          Outcome.notRun(ErrorCode.ROUTER_OVERLOADED, "the decision thread is busy")
              .withRetryAfter(1));
    }
  }

  /**
   * Runs work on the event loop of the caller's connection.
   *
   * @param work the work
   */
  void run(Runnable work) {
    context.runOnContext(ignored -> work.run());
  }

  /**
   * Returns the bytes that the caller has not read.
   *
   * @return the number of bytes
   */
  long unreadBytes() {
    return unread;
  }

  /**
   * Sends the status and headers of the target's answer.
   *
   * @param head the status and headers
   */
  void head(AnswerHead head) {
    if (ended) {
      return;
    }
    try {
      response.setStatusCode(head.getStatus());
      for (Header header : CallerHeaders.toCaller(head.getHeadersList())) {
        response.headers().add(header.getName(), header.getValue());
      }
    } catch (IllegalArgumentException e) {
      logger
          .atWarning()
          .with(JsonLines.REQUEST_ID, String.valueOf(caller))
          .log("the answer of the target has an invalid header");
      drop();
      return;
    }
    String type = response.headers().get("Content-Type");
    eventStream = head.getStatus() == OK && type != null && type.startsWith("text/event-stream");
    boolean hasBody = !BODILESS.contains(head.getStatus()) && !isHead();
    if (hasBody && !response.headers().contains("Content-Length")) {
      response.setChunked(true);
    }
    headSent = true;
    if (eventStream) {
      response.writeHead();
    }
  }

  /**
   * Sends a part of the body.
   *
   * @param data the bytes
   */
  void data(ByteString data) {
    if (ended || isHead()) {
      return;
    }
    int size = data.size();
    progressAt = unread == 0 ? clock.millis() : progressAt;
    unread += size;
    response.write(Buffer.buffer(data.toByteArray())).onSuccess(written -> onRead(size));
    if (!exchanges.unread().add(size)) {
      exchanges.dropSlowest();
    }
  }

  /**
   * Ends the answer.
   *
   * @param outcome the final result
   */
  void end(Outcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    progressAt = unread == 0 ? clock.millis() : progressAt;
    outcome.failure().ifPresent(code -> log(outcome, code));
    if (outcome.failure().isPresent() && headSent && !eventStream) {
      request.connection().close();
    } else {
      last(outcome).onComplete(sent -> release()).onSuccess(sent -> onSent.run());
    }
  }

  /**
   * Sends the last part of the answer.
   *
   * @param outcome the final result
   * @return when everything has left for the caller
   */
  private Future<Void> last(Outcome outcome) {
    if (outcome.failure().isEmpty()) {
      return response.end();
    }
    return headSent
        ? response.end("event: error\ndata: " + Problem.toJson(outcome) + "\n\n")
        : Refusal.send(response, outcome);
  }

  /** Ends the exchange by closing the connection. */
  void drop() {
    run(() -> Aborts.abort(request.connection()));
  }

  /**
   * Closes the connection when the caller has read nothing for too long, also of the last bytes.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the longest time without progress, in milliseconds
   */
  void dropIfStalled(long now, long limitMillis) {
    if (unread > 0 || ended) {
      run(
          () -> {
            if ((unread > 0 || ended) && now - progressAt >= limitMillis) {
              Aborts.abort(request.connection());
            }
          });
    }
  }

  /**
   * Notes that bytes have left for the caller.
   *
   * @param bytes the number of bytes
   */
  private void onRead(int bytes) {
    if (released) {
      return;
    }
    unread -= bytes;
    progressAt = clock.millis();
    exchanges.unread().release(bytes);
    if (!ended) {
      sink.consumed(caller, bytes);
    }
  }

  /** Notes that the connection has closed before the whole answer has left. */
  private void onClose() {
    if (!ended) {
      ended = true;
      sink.gone(caller);
    }
    release();
  }

  /** Releases what the exchange holds. */
  private void release() {
    if (!released) {
      released = true;
      exchanges.remove(this);
      exchanges.unread().release(unread);
    }
  }

  /**
   * Returns whether the answer must not have a body.
   *
   * @return true for a HEAD request
   */
  private boolean isHead() {
    return request.method().name().equals("HEAD");
  }

  /**
   * Logs a fault of the fleet.
   *
   * @param outcome the final result
   * @param code its code
   */
  private void log(Outcome outcome, ErrorCode code) {
    if (code.status() >= SERVER_ERRORS) {
      logger
          .atInfo()
          .with(JsonLines.REQUEST_ID, String.valueOf(caller))
          .with(JsonLines.ORGANISATION, organisation)
          .log("request ended with %s, ran %s", code.label(), outcome.ran().label());
    }
  }
}
