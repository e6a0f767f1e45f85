package org.almondslip.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link Fetcher}. */
@Timeout(60)
class FetcherTest {

  private static final int PAGES = 2_000;

  private static final long WAIT_SECONDS = 30;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against a page that is never completed since its response ended early. */
  @Test
  void completesEveryPage() throws Exception {
    HttpServer server = serve(true);
    Fetcher fetcher = new Fetcher(vertx.createHttpClient());
    List<Future<String>> pages = new ArrayList<>();
    for (int i = 0; i < PAGES; i++) {
      pages.add(fetcher.text("127.0.0.1:" + server.actualPort(), "/" + i));
    }
    Future.all(pages).toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(pages.get(PAGES - 1).result()).isEqualTo("/" + (PAGES - 1));
  }

  /** Guards against a tool that waits forever for a process which does not respond. */
  @Test
  void failsPageThatNeverArrives() throws Exception {
    HttpServer server = serve(false);
    Future<String> page =
        new Fetcher(vertx.createHttpClient()).text("127.0.0.1:" + server.actualPort(), "/");
    Throwable failure =
        page.transform(result -> Future.succeededFuture(result.cause()))
            .toCompletionStage()
            .toCompletableFuture()
            .get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(failure).isNotNull();
  }

  /** Starts a server that echoes the path of each request, or never responds. */
  private HttpServer serve(boolean responds) throws Exception {
    return vertx
        .createHttpServer()
        .requestHandler(
            request -> {
              if (responds) {
                request.response().end(request.path());
              }
            })
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
