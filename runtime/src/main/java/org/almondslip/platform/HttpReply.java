package org.almondslip.platform;

import io.vertx.core.buffer.Buffer;
import java.util.function.Function;
import org.almondslip.store.StoreResult;

/** What became of an HTTP call. */
sealed interface HttpReply {

  /** Lowest status of an error of the server. */
  int SERVER_ERROR = 500;

  /** Lowest status of a refusal. */
  int REFUSAL = 400;

  /**
   * The call was answered.
   *
   * @param status the status
   * @param body the whole body
   */
  record Answered(int status, Buffer body) implements HttpReply {}

  /**
   * No byte of the call was sent.
   *
   * @param detail what failed
   */
  record NotSent(String detail) implements HttpReply {}

  /**
   * The call may have reached the server; no complete answer came back.
   *
   * @param detail what failed
   */
  record Lost(String detail) implements HttpReply {}

  /**
   * Converts the reply. A refusal (4xx) took no effect; an error of the server (5xx) may hide a
   * write that took effect. An answer that cannot be decoded counts as lost.
   *
   * @param decoder reads the body of a success
   * @param <T> the type of the value
   * @return the result
   */
  default <T> StoreResult<T> toResult(Function<Buffer, T> decoder) {
    if (this instanceof Answered answered) {
      return decode(answered, decoder);
    }
    if (this instanceof Lost lost) {
      return new StoreResult.Unknown<>(lost.detail());
    }
    return new StoreResult.NotApplied<>(((NotSent) this).detail());
  }

  /**
   * Converts an answer.
   *
   * @param answered the answer
   * @param decoder reads the body of a success
   * @param <T> the type of the value
   * @return the result
   */
  private static <T> StoreResult<T> decode(Answered answered, Function<Buffer, T> decoder) {
    if (answered.status() >= SERVER_ERROR) {
      return new StoreResult.Unknown<>("status " + answered.status());
    }
    if (answered.status() >= REFUSAL) {
      return new StoreResult.NotApplied<>("status " + answered.status());
    }
    try {
      return new StoreResult.Success<>(decoder.apply(answered.body()));
    } catch (RuntimeException e) {
      return new StoreResult.Unknown<>("the answer cannot be read: " + e.getMessage());
    }
  }
}
