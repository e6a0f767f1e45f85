package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import java.util.List;
import org.almondslip.protocol.wire.Header;
import org.junit.jupiter.api.Test;

/** Cases of {@link CallerHeaders}. */
class CallerHeadersTest {

  /** Guards against keys at targets and against headers that concern one connection only. */
  @Test
  void dropsHopByHopAndConsumedHeaders() {
    MultiMap headers =
        MultiMap.caseInsensitiveMultiMap()
            .add("Connection", "keep-alive, X-Hop")
            .add("X-Hop", "1")
            .add("TE", "trailers")
            .add("Authorization", "Bearer secret")
            .add("Last-Event-ID", "4")
            .add("Accept", "a")
            .add("Accept", "b");
    assertThat(CallerHeaders.toTarget(headers))
        .extracting(Header::getName, Header::getValue)
        .containsExactly(
            org.assertj.core.groups.Tuple.tuple("accept", "a"),
            org.assertj.core.groups.Tuple.tuple("accept", "b"));
  }

  /** Guards against an answer whose framing is taken from the target's connection. */
  @Test
  void dropsHopByHopHeadersOfAnswer() {
    List<Header> headers = List.of(header("Transfer-Encoding", "chunked"), header("ETag", "x"));
    assertThat(CallerHeaders.toCaller(headers)).containsExactly(header("ETag", "x"));
  }

  /**
   * Builds a header.
   *
   * @param name the name
   * @param value the value
   * @return the header
   */
  private static Header header(String name, String value) {
    return Header.newBuilder().setName(name).setValue(value).build();
  }
}
