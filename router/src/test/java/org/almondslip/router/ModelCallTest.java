package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.almondslip.error.AlmondslipException;
import org.junit.jupiter.api.Test;

/** Cases of {@link ModelCall}. */
class ModelCallTest {

  /** Guards against fields of nested objects that are taken for those of the call. */
  @Test
  void readsTopLevelFieldsOnly() {
    ModelCall call =
        call("{\"messages\":[{\"model\":\"x\",\"stream\":true}],\"model\":\"m\",\"max_tokens\":9}");
    assertThat(call).isEqualTo(new ModelCall("m", false, 9));
    assertThat(call.hintMillis()).isEqualTo(180);
    assertThat(call("{\"model\":\"m\",\"stream\":true}"))
        .isEqualTo(new ModelCall("m", true, ModelCall.DEFAULT_TOKENS));
  }

  /** Guards against malformed bodies that reach a target or end as internal errors. */
  @Test
  void refusesMalformedBodies() {
    for (String text :
        new String[] {
          "",
          "[]",
          "{}",
          "{\"model\":\"m\"",
          "{\"model\":\"m\"} x",
          "{\"model\":7}",
          "{\"model\":\"m\",\"max_tokens\":99999999999999999999}",
          "{\"model\":\"m\",\"a\":" + "[".repeat(5_000) + "}"
        }) {
      assertThatThrownBy(() -> call(text)).as(text).isInstanceOf(AlmondslipException.class);
    }
  }

  /**
   * Reads a call.
   *
   * @param text the body
   * @return the call
   */
  private static ModelCall call(String text) {
    return ModelCall.of(text.getBytes(StandardCharsets.UTF_8));
  }
}
