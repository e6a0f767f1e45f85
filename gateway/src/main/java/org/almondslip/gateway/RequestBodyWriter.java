package org.almondslip.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;

/**
 * Writes the body of a request to a target as fast as the target reads it.
 *
 * <p>The connection copies what it cannot send. A large body is therefore written in parts, so that
 * a target that does not read it costs no more memory than the body itself.
 */
final class RequestBodyWriter {

  private final HttpClientRequest request;

  private final Buffer body;

  /** Number of bytes that have been passed to the connection. */
  private int written;

  private RequestBodyWriter(HttpClientRequest request, Buffer body) {
    this.request = request;
    this.body = body;
  }

  /**
   * Writes a body and ends the request.
   *
   * @param request the request
   * @param body the body
   */
  static void write(HttpClientRequest request, Buffer body) {
    if (body.length() <= OutboundBuffer.PART_BYTES) {
      request.end(body);
      return;
    }
    request.putHeader("Content-Length", String.valueOf(body.length()));
    RequestBodyWriter writer = new RequestBodyWriter(request, body);
    request.drainHandler(ignored -> writer.writeParts());
    writer.writeParts();
  }

  private void writeParts() {
    while (written < body.length() && !request.writeQueueFull()) {
      int end = Math.min(body.length(), written + OutboundBuffer.PART_BYTES);
      Buffer part = body.slice(written, end);
      written = end;
      if (end == body.length()) {
        request.end(part);
      } else {
        request.write(part);
      }
    }
  }
}
