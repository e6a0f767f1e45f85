package org.almondslip.standins.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/** HTTP client of the tests. Its limits are far above what any answer needs. */
final class Client {

  /** Longest wait for an answer, in seconds. */
  private static final int LIMIT_SECONDS = 30;

  /** Client of the standard library. */
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(LIMIT_SECONDS))
          .build();

  /** Address of the stand-in. */
  private final String base;

  /**
   * Creates a client.
   *
   * @param port the port of the stand-in
   */
  Client(int port) {
    this.base = "http://127.0.0.1:" + port;
  }

  /**
   * Sends a request.
   *
   * @param method the method
   * @param path the path
   * @param body the body
   * @param headers names and values in turn
   * @return the answer
   * @throws IOException when the connection fails
   */
  HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(base + path))
            .timeout(Duration.ofSeconds(LIMIT_SECONDS))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /**
   * Reads JSON.
   *
   * @param path the path
   * @return the JSON
   * @throws IOException when the connection fails
   */
  JsonNode get(String path) throws IOException {
    return new ObjectMapper().readTree(send("GET", path, "").body());
  }

  /**
   * Splits a stream into its events.
   *
   * @param body the stream
   * @return the events
   */
  static List<String> events(String body) {
    return Arrays.asList(body.split("\n\n"));
  }
}
