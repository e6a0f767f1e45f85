package org.almondslip.gateway;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Unsent data of the response to one caller: what waits here and what the connection has not
 * accepted yet.
 *
 * <p>Data is written to the connection as long as its write queue has room, and accounted only if
 * the connection does not accept it at once.
 */
final class OutboundBuffer {

  /**
   * Size of the parts in which a large body is written, in bytes. The connection copies what it
   * cannot send, so a large body must not be written as a whole.
   */
  static final int PART_BYTES = 64 << 10;

  /** Memory of the objects around a part of a body, in bytes. */
  private static final int PART_OVERHEAD_BYTES = 128;

  private final HttpServerResponse response;

  private final ResponseMemory memory;

  private final ResponseMemory.Listener listener;

  /** Called once when all data has been passed to the connection or the response is closed. */
  private Runnable onPassedOn = () -> {};

  private final Deque<Buffer> waiting = new ArrayDeque<>();

  /** Account of the unsent data, empty as long as the connection accepts all data at once. */
  private Optional<ResponseMemory.Account> account = Optional.empty();

  /** Whether the waiting parts belong to one body, which is accounted as a whole. */
  private boolean wholeBody;

  /** Number of writes that the connection has not sent yet. */
  private int openWrites;

  /** Size of these writes in bytes. */
  private int openBytes;

  /** Whether the response ends after the waiting data. */
  private boolean ending;

  /** Whether the end has been passed to the connection, or the response was closed. */
  private boolean closed;

  /**
   * Creates an empty buffer.
   *
   * @param response the response
   * @param memory the memory of all responses
   * @param listener receives the decisions about this response
   */
  OutboundBuffer(
      HttpServerResponse response, ResponseMemory memory, ResponseMemory.Listener listener) {
    this.response = response;
    this.memory = memory;
    this.listener = listener;
    response.drainHandler(ignored -> writeWaiting());
  }

  /**
   * Adds a part of a streamed body.
   *
   * @param data the data
   * @return true if the target has to be paused
   */
  boolean write(ByteString data) {
    if (closed) {
      return false;
    }
    Buffer part = Buffer.buffer(data.toByteArray());
    if (waiting.isEmpty() && acceptsWrites()) {
      Future<Void> written = response.write(part);
      if (!written.isComplete()) {
        account().add(size(part));
        awaitWrite(written, size(part));
      }
    } else {
      waiting.add(part);
      account().add(size(part));
    }
    return account.map(ResponseMemory.Account::isPaused).orElse(false);
  }

  /** Ends a streamed body after the data that waits. */
  void end() {
    ending = true;
    account.ifPresent(ResponseMemory.Account::onTargetEnded);
    writeWaiting();
  }

  /**
   * Writes a complete body and ends the response.
   *
   * @param body the body
   * @param reservation the memory of the body, released when the body has been sent
   */
  void end(Buffer body, BodyMemory.Reservation reservation) {
    if (body.length() <= PART_BYTES) {
      closed = true;
      Future<Void> written = response.end(body);
      reservation.release();
      if (!written.isComplete()) {
        account().add(size(body));
        awaitWrite(written, size(body));
      }
      onPassedOn.run();
      return;
    }
    if (!response.headers().contains("Content-Length")) {
      response.putHeader("Content-Length", String.valueOf(body.length()));
    }
    wholeBody = true;
    ending = true;
    for (int at = 0; at < body.length(); at += PART_BYTES) {
      waiting.add(body.slice(at, Math.min(body.length(), at + PART_BYTES)));
    }
    reservation.release();
    account().add(body.length());
    end();
  }

  /**
   * Runs a task once all data has been passed to the connection or the response is closed, now if
   * that is the case.
   *
   * @param task the task
   */
  void whenPassedOn(Runnable task) {
    if (closed) {
      task.run();
    } else {
      onPassedOn = task;
    }
  }

  /** Returns whether the connection has not accepted all data yet. */
  boolean hasUnsentData() {
    return !waiting.isEmpty() || openWrites > 0;
  }

  /** Discards the waiting data and releases its memory. */
  void close() {
    waiting.clear();
    account.ifPresent(ResponseMemory.Account::release);
    if (!closed) {
      closed = true;
      onPassedOn.run();
    }
  }

  private void writeWaiting() {
    while (!closed && !waiting.isEmpty() && acceptsWrites()) {
      Buffer part = waiting.poll();
      Future<Void> written = response.write(part);
      if (wholeBody && !written.isComplete()) {
        account().add(size(part));
      }
      if (!written.isComplete()) {
        awaitWrite(written, size(part));
      } else {
        account().remove(size(part), wholeBody ? 0 : size(part));
      }
    }
    if (!closed && ending && waiting.isEmpty()) {
      closed = true;
      Future<Void> written = response.end();
      if (account.isPresent()) {
        awaitWrite(written, 0);
      }
      onPassedOn.run();
    }
  }

  private void awaitWrite(Future<Void> written, int size) {
    openWrites++;
    openBytes += size;
    written.onComplete(ignored -> onWritten(size));
  }

  private void onWritten(int size) {
    openWrites--;
    openBytes -= size;
    account.ifPresent(open -> open.remove(size, size));
    if (closed && openWrites == 0) {
      account.ifPresent(ResponseMemory.Account::release);
    } else {
      writeWaiting();
    }
  }

  /**
   * Returns whether more is passed to the connection. The write queue of the connection is bounded
   * by the number of writes, which would hold a megabyte of large parts.
   */
  private boolean acceptsWrites() {
    return openBytes < PART_BYTES && !response.writeQueueFull();
  }

  private ResponseMemory.Account account() {
    if (account.isEmpty()) {
      account = Optional.of(memory.open(listener));
      if (ending || closed) {
        account.get().onTargetEnded();
      }
    }
    return account.get();
  }

  private static int size(Buffer part) {
    return part.length() + PART_OVERHEAD_BYTES;
  }
}
