package org.almondslip.standins.platform;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.almondslip.settings.Section;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.HttpStandin.Answer;
import org.almondslip.standins.HttpStandin.Request;
import org.almondslip.standins.Standin;

/** Stand-in for the object store. */
public final class ObjectStoreStandin implements HttpStandin.Service {

  /** Start of all paths. */
  private static final String ROOT = "/objects/";

  /** Values by their keys. */
  private final Map<String, Buffer> objects = new ConcurrentHashMap<>();

  /**
   * Reads the settings.
   *
   * @param name the name of the stand-in
   * @param section the settings
   * @return creates the stand-in
   */
  public static Standin.Factory read(String name, Section section) {
    String listen = section.address("listen");
    return vertx -> new HttpStandin(name, listen, vertx, new ObjectStoreStandin());
  }

  @Override
  public Answer handle(Request request) {
    if (!request.path().startsWith(ROOT)) {
      return Answer.of(404);
    }
    String key = request.path().substring(ROOT.length());
    return switch (request.method()) {
      case "PUT" -> {
        objects.put(key, request.body());
        yield Answer.of(200);
      }
      case "GET" -> objects.containsKey(key) ? new Answer(200, objects.get(key)) : Answer.of(404);
      default -> Answer.of(405);
    };
  }
}
