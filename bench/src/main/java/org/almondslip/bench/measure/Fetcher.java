package org.almondslip.bench.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;

/** Reads pages of the fleet and of the stand-ins. */
public final class Fetcher {

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Time within which a page must be read, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 10_000;

  /** HTTP client. */
  private final HttpClient client;

  /**
   * Creates a fetcher.
   *
   * @param client the HTTP client
   */
  public Fetcher(HttpClient client) {
    this.client = client;
  }

  /**
   * Reads a page.
   *
   * @param address the address as {@code ip:port}
   * @param path the path
   * @return the text
   */
  public Future<String> text(String address, String path) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return client
        .request(HttpMethod.GET, port, address.substring(0, colon), path)
        .compose(Fetcher::sendAndReadBody)
        .map(body -> body.toString())
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request and reads the body of its response. The body is subscribed before the request
   * is sent: a response that ends while another thread still subscribes would lose its body.
   */
  private static Future<Buffer> sendAndReadBody(HttpClientRequest request) {
    Future<Buffer> body = request.response().compose(HttpClientResponse::body);
    return request.end().compose(ignored -> body);
  }

  /**
   * Reads a page of JSON.
   *
   * @param address the address as {@code ip:port}
   * @param path the path
   * @return the JSON, without fields when it is not valid
   */
  public Future<JsonNode> json(String address, String path) {
    return text(address, path).map(Fetcher::parse);
  }

  /**
   * Reads JSON.
   *
   * @param text the text
   * @return the JSON, without fields when it is not valid
   */
  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode();
    }
  }
}
