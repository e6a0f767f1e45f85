package org.almondslip.review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Consumer that sends each request on a channel of its own. */
public final class Consumer {

  /**
   * What a consumer got.
   *
   * @param status the status, 0 if the channel ended without an answer
   * @param signed whether the answer bears the signature of a worker
   * @param retryAfter the Retry-After header, empty if missing
   * @param body the body
   * @param failure why there is no complete answer, empty if there is one
   */
  public record Answer(
      int status, boolean signed, String retryAfter, String body, String failure) {}

  private Consumer() {}

  /** Sends a request and reads the answer, for at most the given time. */
  public static Answer call(
      int port, String method, String path, String id, String headers, String body, int millis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(millis);
      String head =
          String.format(
              "%s %s HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: %s\r\n"
                  + "Almondslip-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n",
              method, path, id, millis, body.length(), headers);
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Answer(0, false, "", "", e.toString());
    }
  }

  /** Reads an answer. */
  public static Answer read(BufferedInputStream in) throws IOException {
    Http.Head head = Http.readHead(in);
    if (head == null) {
      return new Answer(0, false, "", "", "closed without an answer");
    }
    boolean signed = !head.get("almondslip-response-signature").isEmpty();
    try {
      String text = new String(Http.readBody(in, head), StandardCharsets.ISO_8859_1);
      return new Answer(head.status(), signed, head.get("retry-after"), text, "");
    } catch (IOException e) {
      return new Answer(head.status(), signed, "", "", e.toString());
    }
  }
}
