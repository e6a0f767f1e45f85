package org.almondslip.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Enters instances into the stand-ins of the instance list. */
final class Registration {

  /** Not instantiable. */
  private Registration() {}

  /**
   * Enters the instances of a deployment.
   *
   * @param vertx the event loops
   * @param directory the directory with the settings
   * @return the number of entries
   */
  static ObjectNode of(Vertx vertx, Path directory) {
    JsonNode members;
    try {
      String text = Files.readString(directory.resolve("instances.json"));
      members = new ObjectMapper().readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    HttpClient client = vertx.createHttpClient();
    for (JsonNode member : members) {
      put(client, member);
    }
    return JsonNodeFactory.instance.objectNode().put("entries", members.size());
  }

  /**
   * Enters an instance.
   *
   * @param client the HTTP client
   * @param member the instance
   */
  private static void put(HttpClient client, JsonNode member) {
    String list = member.path("list").asText();
    int colon = list.lastIndexOf(':');
    int port = Integer.parseInt(list.substring(colon + 1));
    String path = "/instances/" + member.path("id").asText();
    int status =
        LoadRun.await(
            client
                .request(HttpMethod.PUT, port, list.substring(0, colon), path)
                .compose(request -> request.send(Buffer.buffer(member.path("entry").toString())))
                .map(response -> response.statusCode()));
    if (status != 200) {
      throw new IllegalStateException(path + " was answered with status " + status);
    }
  }
}
