package org.almondslip.router;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.time.Clock;
import org.apache.commons.codec.digest.DigestUtils;

/** Router on loopback with one model agent and one service agent. */
final class RouterFixture implements AutoCloseable {

  /** API key of acme. */
  static final String KEY = "acme-key-1";

  /** Shared secret. */
  private static final String SECRET = "0123456789abcdef";

  /** Time within which a condition must hold. */
  private static final Duration DEADLINE = Duration.ofSeconds(20);

  /** Agent beside the model engine. */
  final TcpAgent model = new TcpAgent("m1", SECRET);

  /** Agent beside the plain service. */
  final TcpAgent service = new TcpAgent("s1", SECRET);

  /** Router under test. */
  final Router router;

  /** Client of the callers' API. */
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * Starts a router.
   *
   * @param limits the limits of the callers' API
   */
  RouterFixture(CallerLimits limits) {
    RouterSettings settings =
        new RouterSettings(
            "r1",
            "north",
            "north-1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "0123456789abcdef",
            SECRET,
            new PlatformAddresses("", "", ""),
            RoutingSettings.DEFAULT,
            limits,
            5_000);
    FleetSource fleet = new FleetSource.Fixed(catalog(), List.of(model.member(), service.member()));
    router = new Router(settings, Clock.Standard.SYSTEM, (self, vertx, decision) -> fleet);
    router.start();
    await(() -> metrics().contains("almondslip_connected_agents 2.0"));
  }

  /**
   * Sends a request with the key of acme.
   *
   * @param method the method
   * @param path the path
   * @param body the body
   * @param headers further headers, names and values in turn
   * @return the answer
   */
  HttpResponse<String> send(String method, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router.port() + path))
            .timeout(DEADLINE)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Authorization", "Bearer " + KEY);
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Opens a connection and sends text.
   *
   * @param text the text
   * @return the connection
   * @throws IOException if it cannot be opened
   */
  Socket connect(String text) throws IOException {
    Socket socket = new Socket("127.0.0.1", router.port());
    socket.setSoTimeout((int) DEADLINE.toMillis());
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /**
   * Returns all metrics.
   *
   * @return the text
   */
  String metrics() {
    URI uri = URI.create("http://127.0.0.1:" + router.operationsPort() + "/metrics");
    try {
      HttpRequest request = HttpRequest.newBuilder(uri).timeout(DEADLINE).build();
      return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Waits for a condition.
   *
   * @param condition the condition
   */
  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + DEADLINE.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not hold in time");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    router.close();
    model.close();
    service.close();
  }

  /**
   * Builds the catalog.
   *
   * @return acme with model m1 in pool belt and service s1 in pool orders
   */
  private static Catalog catalog() {
    List<VersionedObject> objects = new ArrayList<>();
    add(objects, new Organisation("acme", List.of("belt", "orders")));
    add(objects, new Target("m1", "belt", Target.Type.MODEL, 4, null, null, null));
    add(objects, new Target("s1", "orders", Target.Type.SERVICE, 4, null, null, null));
    add(objects, new ApiKey("k1", "acme", DigestUtils.sha256Hex(KEY), false));
    add(objects, new ApiKey("k2", "acme", DigestUtils.sha256Hex("old-key"), true));
    return Catalog.EMPTY.merge(objects, 1);
  }

  /**
   * Adds an object to a list.
   *
   * @param objects the list
   * @param object the object
   */
  private static void add(List<VersionedObject> objects, CatalogObject object) {
    objects.add(new VersionedObject(object, 1, 1));
  }
}
