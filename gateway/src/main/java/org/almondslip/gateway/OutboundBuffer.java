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
   * Size of the data that the connection holds at most before it gets another part, in bytes. The
   * connection copies what it cannot send, so a larger body must not be written as a whole.
   */
  static final int MAX_OPEN_BYTES = 64 << 10;

  /**
   * Size of the parts in which a large body is written, in bytes. Progress is recorded when a part
   * has been sent; parts of 64 KiB made a caller that reads steadily look stopped.
   */
  static final int PART_BYTES = 8 << 10;

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
        awaitWrite(written, size(part), size(part));
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
   * @param reservation the memory of the body, which is passed on and released when the body has
   *     been sent
   */
  void end(Buffer body, BodyMemory.Reservation reservation) {
    if (body.length() <= MAX_OPEN_BYTES) {
      closed = true;
      Future<Void> written = response.end(body);
      if (written.isComplete()) {
        reservation.release();
      } else {
        account().takeOver(reservation);
        awaitWrite(written, body.length(), body.length());
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
    account().takeOver(reservation);
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
      int size = size(part);
      if (written.isComplete()) {
        account().remove(size, wholeBody ? 0 : size);
      } else {
        // The copy of a part of a complete body is held in addition to the body.
        awaitWrite(written, size, wholeBody && !account().tryAddCopy(size) ? 0 : size);
      }
    }
    if (!closed && ending && waiting.isEmpty()) {
      closed = true;
      Future<Void> written = response.end();
      if (account.isPresent()) {
        awaitWrite(written, 0, 0);
      }
      onPassedOn.run();
    }
  }

  /**
   * Waits until a part has been sent.
   *
   * @param written the result of the write
   * @param size the size of the part in bytes
   * @param accounted the bytes that are released from the account then
   */
  private void awaitWrite(Future<Void> written, int size, int accounted) {
    openWrites++;
    openBytes += size;
    written.onComplete(ignored -> onWritten(size, accounted));
  }

  private void onWritten(int size, int accounted) {
    openWrites--;
    openBytes -= size;
    account.ifPresent(open -> open.remove(size, accounted));
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
    return openBytes < MAX_OPEN_BYTES && !response.writeQueueFull();
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
