package org.almondslip.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.almondslip.membership.Member;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.InstanceList;
import org.almondslip.store.StoreResult;

/** HTTP client of the instance list. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

  private final PlatformHttpClient client;

  /** Path and query of the list for the region of this process. */
  private final String uri;

  /**
   * Creates a client.
   *
   * @param vertx the event loops that run the calls
   * @param address the address of the service as {@code ip:port}
   * @param region the region of this process, since the returned addresses can depend on it
   * @param timeoutMillis the timeout of a call, in milliseconds
   * @param executor the executor of the callbacks
   */
  public HttpInstanceList(
      Vertx vertx, String address, String region, long timeoutMillis, Executor executor) {
    this.client = new PlatformHttpClient(vertx, address, timeoutMillis, executor);
    this.uri = "/instances?region=" + URLEncoder.encode(region, StandardCharsets.UTF_8);
  }

  @Override
  public void list(Consumer<StoreResult<List<Member>>> callback) {
    client.call(
        HttpMethod.GET,
        uri,
        Buffer.buffer(),
        result -> result.toStoreResult(HttpInstanceList::toMembers),
        callback);
  }

  @Override
  public void close() {
    client.close();
  }

  private static List<Member> toMembers(Buffer body) {
    JsonArray instances = body.toJsonObject().getJsonArray("instances");
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < instances.size(); i++) {
      members.add(toMember(instances.getJsonObject(i)));
    }
    return members;
  }

  private static Member toMember(JsonObject json) {
    return new Member(
        json.getString("id"),
        Role.valueOf(json.getString("role").toUpperCase(Locale.ROOT)),
        json.getString("region"),
        json.getString("data_centre"),
        json.getString("address"),
        json.getString("target", ""),
        json.getBoolean("leaving", false));
  }
}
