package org.almondslip.routing;

import com.google.protobuf.ByteString;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.SuspectNotice;

/** Side effects of a router's decisions, apart from frames to peers. */
public interface RouterEffects {

  /**
   * Sends status and headers to a caller. Called at most once for each request.
   *
   * @param caller the request
   * @param head the status and headers of the target's answer
   */
  void head(long caller, AnswerHead head);

  /**
   * Sends a part of the body to a caller. The caller's consumption is reported with {@link
   * RouterLogic#onConsumed}.
   *
   * @param caller the request
   * @param data the bytes
   */
  void data(long caller, ByteString data);

  /**
   * Ends a request. Called exactly once for each request unless its caller has disconnected.
   *
   * @param caller the request
   * @param outcome the final result
   */
  void end(long caller, Outcome outcome);

  /**
   * Asks for connections to more agents of a pool because its requests wait.
   *
   * @param pool the pool
   */
  void dialMore(String pool);

  /**
   * Writes a crash record, or its clearing, to durable storage.
   *
   * @param notice the crash record
   */
  void recordSuspect(SuspectNotice notice);
}
