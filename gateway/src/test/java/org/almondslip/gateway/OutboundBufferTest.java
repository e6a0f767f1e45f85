package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link OutboundBuffer} with a connection whose writes the test completes. */
class OutboundBufferTest {

  private static final int BODY_BYTES = 400_000;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final BodyMemory memory = new BodyMemory(1_000_000);

  private final ResponseMemory responses = new ResponseMemory(clock, memory);

  private final Deque<Promise<Void>> open = new ArrayDeque<>();

  /** Sizes of the open writes in bytes. */
  private final Deque<Integer> sizes = new ArrayDeque<>();

  private final List<String> cutOffs = new ArrayList<>();

  private final ResponseMemory.Listener listener =
      new ResponseMemory.Listener() {
        @Override
        public void onResume() {}

        @Override
        public void onCutOff(ResponseMemory.CutOffReason reason, long bytes) {
          cutOffs.add(reason.label());
        }
      };

  /** Returns a response whose writes stay incomplete. */
  private HttpServerResponse response() {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    return (HttpServerResponse)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {HttpServerResponse.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "write" -> write(((Buffer) arguments[0]).length());
                  case "end" -> write(0);
                  case "headers" -> headers;
                  case "writeQueueFull" -> false;
                  default -> proxy;
                });
  }

  private Future<Void> write(int bytes) {
    Promise<Void> promise = Promise.promise();
    sizes.add(bytes);
    open.add(promise);
    return promise.future();
  }

  /** Guards against a caller that reads slowly but steadily and looks as if it had stopped. */
  @Test
  void progressOfSteadyCallerIsVisible() {
    BodyMemory.Reservation body = memory.reserve();
    assertThat(body.tryExtend(BODY_BYTES)).isTrue();
    new OutboundBuffer(response(), responses, listener)
        .end(Buffer.buffer(new byte[BODY_BYTES]), body);
    // The caller reads 8 KiB in 150 ms, which takes 1.2 s for 64 KiB.
    int read = 0;
    for (int i = 0; i < 10; i++) {
      clock.advance(150);
      read += 8 << 10;
      if (read >= sizes.peek()) {
        read -= sizes.poll();
        open.poll().complete();
      }
      responses.cutOffStalled(ResponseMemory.NO_PROGRESS_MILLIS);
    }
    assertThat(cutOffs).isEmpty();
    while (!open.isEmpty()) {
      open.poll().complete();
    }
    assertThat(memory.used()).isZero();
  }

  /**
   * Guards against a complete response that is cut off when other bodies have filled the memory.
   */
  @Test
  void completeResponseIsKeptWhenMemoryIsFull() {
    BodyMemory.Reservation body = memory.reserve();
    assertThat(body.tryExtend(BODY_BYTES)).isTrue();
    for (int i = 0; i < 12; i++) {
      assertThat(memory.reserve().tryExtend(50_000)).isTrue();
    }
    new OutboundBuffer(response(), responses, listener)
        .end(Buffer.buffer(new byte[BODY_BYTES]), body);
    assertThat(cutOffs).isEmpty();
    assertThat(open).isNotEmpty();
    while (!open.isEmpty()) {
      open.poll().complete();
    }
    assertThat(cutOffs).isEmpty();
    assertThat(memory.used()).isEqualTo(600_000);
  }
}
