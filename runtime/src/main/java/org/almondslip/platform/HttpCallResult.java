package org.almondslip.platform;

import io.vertx.core.buffer.Buffer;
import java.util.function.Function;
import org.almondslip.store.StoreResult;

/** Result of an HTTP call. */
sealed interface HttpCallResult {

  /** Lowest status code of a server error. */
  int STATUS_SERVER_ERROR = 500;

  /** Lowest status code of a client error. */
  int STATUS_CLIENT_ERROR = 400;

  /**
   * A complete response.
   *
   * @param status the status code
   * @param body the whole body
   */
  record Response(int status, Buffer body) implements HttpCallResult {}

  /**
   * The call failed before any byte of it was sent.
   *
   * @param detail a description of the failure
   */
  record NotSent(String detail) implements HttpCallResult {}

  /**
   * The call may have reached the server, but no complete response was received.
   *
   * @param detail a description of the failure
   */
  record ResponseLost(String detail) implements HttpCallResult {}

  /**
   * Converts this result to the result of a store operation.
   *
   * <p>A client error (4xx) means that the operation was not applied. After a server error (5xx), a
   * lost response or a response that cannot be decoded, the operation may have been applied.
   *
   * @param decoder decodes the body of a successful response
   * @param <T> the type of the value
   * @return the result of the operation
   */
  default <T> StoreResult<T> toStoreResult(Function<Buffer, T> decoder) {
    if (this instanceof Response response) {
      return decode(response, decoder);
    }
    if (this instanceof ResponseLost lost) {
      return new StoreResult.Unknown<>(lost.detail());
    }
    return new StoreResult.NotApplied<>(((NotSent) this).detail());
  }

  /** Converts a response to the result of a store operation. */
  private static <T> StoreResult<T> decode(Response response, Function<Buffer, T> decoder) {
    if (response.status() >= STATUS_SERVER_ERROR) {
      return new StoreResult.Unknown<>("status " + response.status());
    }
    if (response.status() >= STATUS_CLIENT_ERROR) {
      return new StoreResult.NotApplied<>("status " + response.status());
    }
    try {
      return new StoreResult.Success<>(decoder.apply(response.body()));
    } catch (RuntimeException e) {
      return new StoreResult.Unknown<>("the response cannot be decoded: " + e.getMessage());
    }
  }
}
