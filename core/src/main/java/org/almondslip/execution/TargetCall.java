package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.List;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Header;

/**
 * One call at the target.
 *
 * @param token a number that identifies the call at this agent
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers of the caller
 * @param body the body
 * @param resumeAfter the number of stream events that the caller already has, 0 for a new stream
 */
public record TargetCall(
    long token,
    String method,
    String path,
    List<Header> headers,
    ByteString body,
    int resumeAfter) {

  /**
   * Creates the call for a dispatched request.
   *
   * @param token the number of the call
   * @param dispatch the request
   * @return the call
   */
  static TargetCall of(long token, Dispatch dispatch) {
    return new TargetCall(
        token,
        dispatch.getMethod(),
        dispatch.getPath(),
        dispatch.getHeadersList(),
        dispatch.getBody(),
        dispatch.getResumeAfter());
  }
}
