package org.almondslip.execution;

import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Ran;

/** Factory for terminal answer messages. */
final class AnswerEnds {

  /** Not instantiable. */
  private AnswerEnds() {}

  /**
   * Builds the end of a complete answer.
   *
   * @param costMillis the slot time, in milliseconds
   * @return the end
   */
  static AnswerEnd complete(long costMillis) {
    return AnswerEnd.newBuilder()
        .setComplete(true)
        .setRan(Ran.YES)
        .setCostMs((int) costMillis)
        .build();
  }

  /**
   * Builds the end of a missing or incomplete answer.
   *
   * @param code the error code
   * @param ran whether the request has run
   * @param detail the human-readable reason
   * @param costMillis the slot time, in milliseconds
   * @return the end
   */
  static AnswerEnd failed(ErrorCode code, Ran ran, String detail, long costMillis) {
    return AnswerEnd.newBuilder()
        .setRan(ran)
        .setCode(code.label())
        .setDetail(detail)
        .setCostMs((int) costMillis)
        .build();
  }

  /**
   * Builds the only frame of an answer to a request that the agent does not hold.
   *
   * @param key the request
   * @param sequence the first part that the router does not have
   * @param end the end
   * @return the frame
   */
  static Frame frame(RequestKey key, long sequence, AnswerEnd end) {
    return Frame.newBuilder()
        .setAnswer(Answer.newBuilder().setRequestId(key.toWire()).setSequence(sequence).setEnd(end))
        .build();
  }

  /**
   * Converts an execution state to its wire form.
   *
   * @param ran the execution state
   * @return the wire form
   */
  static Ran toWire(org.almondslip.error.Ran ran) {
    return switch (ran) {
      case NO -> Ran.NO;
      case UNKNOWN -> Ran.UNKNOWN;
      case YES -> Ran.YES;
    };
  }
}
