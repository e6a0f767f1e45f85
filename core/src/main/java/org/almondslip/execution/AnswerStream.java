package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;

/** Answer of one request on its way to the router, kept until it has been acknowledged. */
final class AnswerStream {

  /** Largest body of one answer part, in bytes; well below the frame limit. */
  private static final int PART_BYTES = 64 << 10;

  /** Request that is answered. */
  private final RequestKey key;

  /** Parts that are not acknowledged. */
  private final ReplayBuffer buffer;

  /** Connection to the router, empty while it is lost. */
  private Optional<Peer> peer;

  /** Whether nobody wants the answer any more. */
  private boolean silent;

  /** Part of a stored answer that has not been sent yet. */
  private ByteString pending = ByteString.EMPTY;

  /**
   * Creates an empty answer.
   *
   * @param key the request that is answered
   * @param buffer the buffer for the parts
   * @param peer the connection to the router
   */
  AnswerStream(RequestKey key, ReplayBuffer buffer, Peer peer) {
    this.key = key;
    this.buffer = buffer;
    this.peer = Optional.of(peer);
  }

  /**
   * Sends the head.
   *
   * @param head the head
   */
  void head(AnswerHead head) {
    emit(Answer.newBuilder().setHead(head));
  }

  /**
   * Sends a piece of the body.
   *
   * @param data the piece, of any size
   */
  void data(ByteString data) {
    for (int at = 0; at < data.size(); at += PART_BYTES) {
      ByteString piece = data.substring(at, Math.min(data.size(), at + PART_BYTES));
      emit(Answer.newBuilder().setData(piece));
    }
  }

  /**
   * Sends the end. The end of an answer that nobody wants any more is sent once, not kept, and
   * never called complete, since parts of the answer were dropped.
   *
   * @param end the end
   */
  void end(AnswerEnd end) {
    pending = ByteString.EMPTY;
    if (silent) {
      AnswerEnd dropped =
          end.toBuilder().setComplete(false).setCode(ErrorCode.STREAM_INTERRUPTED.label()).build();
      Answer last = buffer.unkept(Answer.newBuilder().setRequestId(key.toWire()).setEnd(dropped));
      peer.ifPresent(to -> to.send(Frame.newBuilder().setAnswer(last).build()));
    } else {
      emit(Answer.newBuilder().setEnd(end));
    }
  }

  /**
   * Takes a stored body, which is sent as the window allows.
   *
   * @param body the body
   */
  void store(ByteString body) {
    pending = silent ? ByteString.EMPTY : body;
  }

  /**
   * Sends what the window allows of a stored body.
   *
   * @param window the window in bytes
   * @return true when the whole body has been sent
   */
  boolean pump(int window) {
    while (!pending.isEmpty() && buffer.bytes() < window) {
      int size = Math.min(PART_BYTES, pending.size());
      data(pending.substring(0, size));
      pending = pending.substring(size);
    }
    return pending.isEmpty();
  }

  /**
   * Sends the kept parts on a new connection.
   *
   * @param to the connection
   * @param nextSequence the first part that the router does not have
   */
  void attach(Peer to, long nextSequence) {
    peer = Optional.of(to);
    buffer.acknowledge(nextSequence);
    for (Answer part : buffer.from(nextSequence)) {
      to.send(Frame.newBuilder().setAnswer(part).build());
    }
  }

  /** Notes that the connection was lost. */
  void detach() {
    peer = Optional.empty();
  }

  /** Drops the answer, since nobody wants it any more. */
  void silence() {
    silent = true;
    buffer.clear();
    pending = ByteString.EMPTY;
  }

  /**
   * Returns the connection to the router.
   *
   * @return the connection, empty while it is lost
   */
  Optional<Peer> peer() {
    return peer;
  }

  /**
   * Returns the buffer of the answer.
   *
   * @return the buffer
   */
  ReplayBuffer buffer() {
    return buffer;
  }

  /**
   * Adds a part to the buffer and sends it if the router is connected.
   *
   * @param part the part without identity and sequence
   */
  private void emit(Answer.Builder part) {
    if (silent) {
      return;
    }
    Answer answer = buffer.append(part.setRequestId(key.toWire()));
    peer.ifPresent(to -> to.send(Frame.newBuilder().setAnswer(answer).build()));
  }
}
