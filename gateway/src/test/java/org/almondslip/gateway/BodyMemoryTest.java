package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests of {@link BodyMemory}. */
class BodyMemoryTest {

  private static final int CAPACITY = 1 << 20;

  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  /** Guards against a sum of bodies above the capacity, and against memory that leaks. */
  @Property(seed = "20261205", tries = 300)
  void neverExceedsCapacity(
      @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 300_000) Integer> sizes) {
    BodyMemory memory = new BodyMemory(CAPACITY);
    List<BodyMemory.Reservation> open = new ArrayList<>();
    for (int size : sizes) {
      BodyMemory.Reservation reservation = memory.reserve();
      open.add(reservation);
      reservation.tryExtend(size);
      assertThat(memory.used()).isBetween(0L, (long) CAPACITY);
      if (size % 3 == 0) {
        open.remove(0).release();
      }
    }
    open.forEach(BodyMemory.Reservation::release);
    open.forEach(BodyMemory.Reservation::release);
    assertThat(memory.used()).isZero();
  }

  /** Guards against large uploads that leave no memory to small requests. */
  @Test
  void largeBodiesLeaveMemoryToSmallOnes() {
    BodyMemory memory = new BodyMemory(CAPACITY);
    while (memory.reserve().tryExtend(2 * BodyMemory.LARGE_BODY_BYTES)) {
      // Fills the part of the capacity that large bodies may use.
    }
    assertThat(memory.reserve().tryExtend(BodyMemory.LARGE_BODY_BYTES)).isTrue();
    assertThat(memory.refused()).isEqualTo(1);
  }

  /** Guards against the memory of a body that is not released when its request ends. */
  @Test
  void requestsReleaseTheirMemory() throws IOException {
    try (GatewayHarness harness = new GatewayHarness()) {
      ScriptedTarget target =
          harness.target(
              (number, socket) -> {
                if (number == 0) {
                  ScriptedTarget.write(socket, COMPLETE);
                } else {
                  socket.close();
                }
              });
      Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
      GatewayHarness.send(gateway, GatewayHarness.request(""));
      GatewayHarness.send(gateway, GatewayHarness.request(""));
      GatewayHarness.send(gateway, GatewayHarness.request("").replace("secret", "guess"));
      try (Socket upload = new Socket("127.0.0.1", gateway.port())) {
        ScriptedTarget.write(
            upload, GatewayHarness.request("").replace("Content-Length: 2", "Content-Length: 99"));
        GatewayHarness.await(() -> gateway.bodyMemory().used() > 0);
      }
      GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
    }
  }
}
