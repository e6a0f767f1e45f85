package org.almondslip.bench.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;

/** Reads pages of the fleet and of the stand-ins. */
public final class Fetcher {

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

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
        .compose(request -> request.send())
        .compose(response -> response.body())
        .map(body -> body.toString());
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
