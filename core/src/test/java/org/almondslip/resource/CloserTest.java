package org.almondslip.resource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CloserTest {

  /** A resource must not remain open because closing another one failed. */
  @Test
  void allResourcesAreClosedInReverseOrderDespiteFailures() {
    List<String> closed = new ArrayList<>();
    Closer closer = new Closer();
    closer.register(() -> closed.add("first"));
    closer.register(
        () -> {
          throw new IllegalStateException("fault");
        });
    closer.register(() -> closed.add("third"));
    assertThatThrownBy(closer::close).hasRootCauseMessage("fault");
    assertThat(closed).containsExactly("third", "first");
  }
}
