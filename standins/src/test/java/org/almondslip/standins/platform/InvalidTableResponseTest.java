package org.almondslip.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.resource.Closer;
import org.almondslip.standins.ScriptedServer;
import org.almondslip.standins.ScriptedServer.Ending;
import org.almondslip.standins.ScriptedServer.Response;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the client of the table service with responses that are broken or not HTTP. */
@Timeout(60)
class InvalidTableResponseTest {

  private static final long LIMIT_MILLIS = 5_000;

  /** Body of all responses: an applied transaction and a scan without rows. */
  private static final String BODY = "{\"applied\":true,\"conflicts\":[],\"rows\":[]}";

  private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";

  private static final Response SOUND =
      new Response("HTTP/1.1 200 OK\r\n" + LENGTH + "\r\n" + BODY, Ending.KEEP);

  private final Closer closer = new Closer();

  private final Vertx vertx = Vertx.vertx();

  private final AtomicReference<Response> next = new AtomicReference<>(SOUND);

  private final ScriptedServer server =
      closer.register(new ScriptedServer(head -> next.getAndSet(SOUND)));

  private final HttpTableStore store =
      closer.register(new HttpTableStore(vertx, server.address(), LIMIT_MILLIS, Runnable::run));

  @AfterEach
  void close() {
    closer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Returns responses that tell nothing about the call. */
  static Stream<Response> brokenResponses() {
    String unframed = "HTTP/1.1 200 OK\r\n\r\n" + BODY;
    return Stream.concat(
        Stream.of(
                "HTTP/1.1 000 Trouble\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 999 Trouble\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 200 OK\r\na b: c\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nContent-Length : " + BODY.length() + "\r\n\r\n" + BODY,
                "HTTP/1.1 200 OK\r\na\u0001: c\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 404 Missing\r\na b: c\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 102 Wait\r\na b: c\r\n\r\n" + SOUND.bytes())
            .map(bytes -> new Response(bytes, Ending.KEEP)),
        Stream.of(new Response(unframed, Ending.RESET), new Response(unframed, Ending.RESET)));
  }

  /** Guards against a call that counts as done, or as not done, after a broken response. */
  @ParameterizedTest
  @MethodSource("brokenResponses")
  void brokenResponseTellsNothing(Response broken) throws Exception {
    for (boolean kept : new boolean[] {false, true}) {
      if (kept) {
        assertThat(transact()).isInstanceOf(StoreResult.Success.class);
      }
      next.set(broken);
      assertThat(transact()).isInstanceOf(StoreResult.Unknown.class);
      next.set(broken);
      assertThat(scan()).isInstanceOf(StoreResult.Unknown.class);
    }
  }

  /** Returns sound responses of each framing. */
  static Stream<Response> soundResponses() {
    return Stream.of(
        SOUND,
        new Response("HTTP/1.1 200 OK\r\n\r\n" + BODY, Ending.CLOSE),
        new Response("HTTP/1.1 102 Wait\r\n\r\n" + SOUND.bytes(), Ending.KEEP),
        new Response(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(BODY.length())
                + "\r\n"
                + BODY
                + "\r\n0\r\n\r\n",
            Ending.KEEP));
  }

  /** Guards against a call that is lost although its response is sound. */
  @ParameterizedTest
  @MethodSource("soundResponses")
  void soundResponseIsRead(Response sound) throws Exception {
    for (int i = 0; i < 3; i++) {
      next.set(sound);
      assertThat(transact()).isInstanceOf(StoreResult.Success.class);
    }
  }

  private StoreResult<Outcome> transact() throws Exception {
    CompletableFuture<StoreResult<Outcome>> result = new CompletableFuture<>();
    store.transact(new Transaction(List.of(), List.of()), result::complete);
    return result.get(LIMIT_MILLIS * 2, TimeUnit.MILLISECONDS);
  }

  private StoreResult<List<Row>> scan() throws Exception {
    CompletableFuture<StoreResult<List<Row>>> result = new CompletableFuture<>();
    store.scan("t", "", result::complete);
    return result.get(LIMIT_MILLIS * 2, TimeUnit.MILLISECONDS);
  }
}
