package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests {@link EventSplitter}. */
class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  /** Guards against forwarding part of an event that the next target sends again in full. */
  @Test
  void holdsIncompleteEvent() {
    assertThat(add("data: a\n\ndata: b\n")).isEqualTo("data: a\n\n");
    assertThat(splitter.events()).isEqualTo(1);
    assertThat(add("\n")).isEqualTo("data: b\n\n");
    assertThat(splitter.events()).isEqualTo(2);
    assertThat(add("data: c")).isEmpty();
    assertThat(splitter.finish().toStringUtf8()).isEqualTo("data: c");
  }

  /** Guards against a wrong resume position when the stream has comments or different line ends. */
  @Test
  void countsOnlyEvents() {
    assertThat(add(": ping\n\n\n")).isEqualTo(": ping\n\n\n");
    assertThat(splitter.events()).isZero();
    assertThat(add("data: a\r\n\r\ndata: b\r\rid: 3\n\n")).endsWith("id: 3\n\n");
    assertThat(splitter.events()).isEqualTo(3);
  }

  /** Guards against a comment that is forwarded twice when the stream is resumed after it. */
  @Test
  void commentLineIsNoEventBoundary() {
    assertThat(add(": ping\r\n")).isEmpty();
    assertThat(add("data: a\r\n\r\n")).isEqualTo(": ping\r\ndata: a\r\n\r\n");
  }

  /** Guards against an agent that blocks because a very large event is never acknowledged. */
  @Test
  void passesHugeEventInParts() {
    assertThat(add("data: " + "x".repeat(EventSplitter.MAX_HELD_BYTES))).isNotEmpty();
    assertThat(splitter.resumable()).isFalse();
  }

  /** Guards against mixing bytes of the failed target with those of the next one. */
  @Test
  void dropsIncompleteEventOnRestart() {
    add("data: a\n\nda");
    splitter.restart();
    assertThat(add("data: b\n\n")).isEqualTo("data: b\n\n");
    assertThat(splitter.events()).isEqualTo(2);
  }

  /**
   * Guards against results that depend on how the stream is split into frames.
   *
   * @param cuts the sizes of the frames
   */
  @Property(tries = 200, seed = "41")
  void doesNotDependOnCuts(@ForAll @Size(40) List<@IntRange(min = 1, max = 9) Integer> cuts) {
    String text = "id: 1\ndata: a\n\n: c\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    EventSplitter cut = new EventSplitter();
    StringBuilder forwarded = new StringBuilder();
    int from = 0;
    for (int size : cuts) {
      int to = Math.min(text.length(), from + size);
      forwarded.append(cut.add(ByteString.copyFromUtf8(text.substring(from, to))).toStringUtf8());
      from = to;
    }
    forwarded.append(cut.add(ByteString.copyFromUtf8(text.substring(from))).toStringUtf8());
    assertThat(forwarded.toString()).isEqualTo(text);
    assertThat(cut.events()).isEqualTo(3);
  }

  /**
   * Adds text.
   *
   * @param text the text
   * @return the forwarded text
   */
  private String add(String text) {
    return splitter.add(ByteString.copyFromUtf8(text)).toStringUtf8();
  }
}
