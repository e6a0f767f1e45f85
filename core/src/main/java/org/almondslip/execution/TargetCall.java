package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Header;

/**
 * A call to the target.
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

  /** Header that names the authenticated organisation to the target. */
  public static final String ORGANISATION_HEADER = "X-Organisation";

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
        headersOf(dispatch),
        dispatch.getBody(),
        dispatch.getResumeAfter());
  }

  /**
   * Replaces the organisation header with the authenticated organisation. The caller's own header
   * is removed, because it could name another organisation.
   *
   * @param dispatch the request
   * @return the headers for the target
   */
  private static List<Header> headersOf(Dispatch dispatch) {
    List<Header> headers = new ArrayList<>();
    for (Header header : dispatch.getHeadersList()) {
      if (!header.getName().equalsIgnoreCase(ORGANISATION_HEADER)) {
        headers.add(header);
      }
    }
    headers.add(
        Header.newBuilder()
            .setName(ORGANISATION_HEADER)
            .setValue(dispatch.getOrganisation())
            .build());
    return headers;
  }
}
