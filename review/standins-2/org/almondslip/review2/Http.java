package org.almondslip.review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection. */
public final class Http {

  /** Start line and headers, names in lower case. */
  public record Head(String start, Map<String, String> headers) {

    /** Returns a header, empty if it is missing. */
    public String get(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response. */
    public int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    /** Returns the path and query of a request. */
    public String path() {
      return start.split(" ")[1];
    }
  }

  private Http() {}

  /** Reads a head; null if the connection ends before its first byte. */
  public static Head readHead(InputStream in) throws IOException {
    String start = readLine(in, true);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Head(start, headers);
  }

  private static String readLine(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0 && mayEnd) {
      return null;
    }
    for (; b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended within a line");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  /** Reads a body with a length or in chunks. Throws {@link EOFException} if it is cut off. */
  public static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.get("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        body.write(readFully(in, size));
        readLine(in, false);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.get("content-length");
    return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the body ended after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }
}
