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

  /** Size of the parts in which a large body is written, in bytes. */
  private static final int PART_BYTES = 64 << 10;

  private final HttpClientRequest request;

  private final Buffer body;

  /** Number of bytes that have been passed to the connection. */
  private int written;

  /** Whether the connection has sent the whole request. */
  private boolean sent;

  private RequestBodyWriter(HttpClientRequest request, Buffer body) {
    this.request = request;
    this.body = body;
  }

  /**
   * Writes a body and ends the request.
   *
   * @param request the request
   * @param body the body
   * @return the writer
   */
  static RequestBodyWriter write(HttpClientRequest request, Buffer body) {
    RequestBodyWriter writer = new RequestBodyWriter(request, body);
    if (body.length() <= PART_BYTES) {
      writer.end(body);
      return writer;
    }
    request.putHeader("Content-Length", String.valueOf(body.length()));
    request.drainHandler(ignored -> writer.writeParts());
    writer.writeParts();
    return writer;
  }

  /** Returns whether the connection has sent the whole request and can carry another one. */
  boolean sent() {
    return sent;
  }

  private void end(Buffer part) {
    request.end(part).onSuccess(ignored -> sent = true);
  }

  private void writeParts() {
    while (written < body.length() && !request.writeQueueFull()) {
      int end = Math.min(body.length(), written + PART_BYTES);
      Buffer part = body.slice(written, end);
      written = end;
      if (end == body.length()) {
        end(part);
      } else {
        request.write(part);
      }
    }
  }
}
