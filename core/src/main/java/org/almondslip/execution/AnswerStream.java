package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;

/** Outbound answer of one request, buffered until the router has acknowledged it. */
final class AnswerStream {

  /** Largest body of one answer part, in bytes; well below the frame limit. */
  private static final int PART_BYTES = 64 << 10;

  /** Request that is answered. */
  private final RequestKey key;

  /** Unacknowledged parts. */
  private final ReplayBuffer buffer;

  /** Connection to the router, empty while it is lost. */
  private Optional<Peer> peer;

  /** Whether the answer has been discarded. */
  private boolean discarded;

  /** Remainder of a stored answer's body that has not been sent. */
  private ByteString unsentBody = ByteString.EMPTY;

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
  void sendHead(AnswerHead head) {
    emit(Answer.newBuilder().setHead(head));
  }

  /**
   * Sends a chunk of the body.
   *
   * @param data the chunk, of any size
   */
  void sendData(ByteString data) {
    for (int at = 0; at < data.size(); at += PART_BYTES) {
      ByteString piece = data.substring(at, Math.min(data.size(), at + PART_BYTES));
      emit(Answer.newBuilder().setData(piece));
    }
  }

  /**
   * Sends the end. The end of a discarded answer is sent once without buffering, and is never
   * marked complete because parts of the answer were dropped.
   *
   * @param end the end
   */
  void sendEnd(AnswerEnd end) {
    unsentBody = ByteString.EMPTY;
    if (discarded) {
      AnswerEnd dropped =
          end.toBuilder().setComplete(false).setCode(ErrorCode.STREAM_INTERRUPTED.label()).build();
      Answer last =
          buffer.numberUnbuffered(Answer.newBuilder().setRequestId(key.toWire()).setEnd(dropped));
      peer.ifPresent(to -> to.send(Frame.newBuilder().setAnswer(last).build()));
    } else {
      emit(Answer.newBuilder().setEnd(end));
    }
  }

  /**
   * Sets a stored body, which {@link #sendStored} sends as the window allows.
   *
   * @param body the body
   */
  void setStoredBody(ByteString body) {
    unsentBody = discarded ? ByteString.EMPTY : body;
  }

  /**
   * Sends as much of the stored body as the window allows.
   *
   * @param window the window in bytes
   * @return true if the whole body has been sent
   */
  boolean sendStored(int window) {
    while (!unsentBody.isEmpty() && buffer.bytes() < window) {
      int size = Math.min(PART_BYTES, unsentBody.size());
      sendData(unsentBody.substring(0, size));
      unsentBody = unsentBody.substring(size);
    }
    return unsentBody.isEmpty();
  }

  /**
   * Replays the buffered parts on a new connection.
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

  /** Marks the connection as lost. */
  void detach() {
    peer = Optional.empty();
  }

  /** Discards the answer, including its buffered parts. */
  void discard() {
    discarded = true;
    buffer.clear();
    unsentBody = ByteString.EMPTY;
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
   * @param part the part without request id and sequence
   */
  private void emit(Answer.Builder part) {
    if (discarded) {
      return;
    }
    Answer answer = buffer.append(part.setRequestId(key.toWire()));
    peer.ifPresent(to -> to.send(Frame.newBuilder().setAnswer(answer).build()));
  }
}
