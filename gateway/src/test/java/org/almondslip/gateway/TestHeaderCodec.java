package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetStatus;

/** Header codec with short header names. */
enum TestHeaderCodec implements HeaderCodec {
  INSTANCE;

  @Override
  public RequestHeaders readRequest(MultiMap headers) {
    String deadline = headers.get("deadline");
    return new RequestHeaders(
        Optional.ofNullable(headers.get("id")).orElse(""),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        Optional.ofNullable(headers.get("key")),
        headers.contains("segments") ? readPrompt(headers.get("segments")) : Prompt.NONE,
        Optional.ofNullable(headers.get("last-event-id")));
  }

  /** Returns a prompt whose segments have the given ids and 100 tokens each. */
  private static Prompt readPrompt(String ids) {
    List<Prompt.Segment> segments =
        Arrays.stream(ids.split(","))
            .map(id -> new Prompt.Segment(Long.parseLong(id), 100))
            .toList();
    return new Prompt(segments, 100 * segments.size(), 10);
  }

  @Override
  public boolean isForwarded(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !lower.equals("key") && !lower.equals("organisation") && !lower.equals("deadline");
  }

  @Override
  public void writeTargetRequest(MultiMap headers, TargetRequestHeaders values) {
    values.deadlineMillis().ifPresent(millis -> headers.set("deadline", String.valueOf(millis)));
    values.organisation().ifPresent(name -> headers.set("organisation", name));
    values.lastEventId().ifPresent(id -> headers.set("last-event-id", id));
  }

  @Override
  public ResponseHeaders readResponse(MultiMap headers) {
    return new ResponseHeaders(
        Optional.ofNullable(headers.get("id")),
        headers.contains("not-run"),
        headers.contains("signed"),
        headers.contains("leaving"),
        headers.contains("retry-after")
            ? OptionalLong.of(Long.parseLong(headers.get("retry-after")) * 1_000)
            : OptionalLong.empty(),
        Optional.ofNullable(headers.get("load")).map(TestHeaderCodec::readLoad),
        headers.contains("cold")
            ? OptionalLong.of(Long.parseLong(headers.get("cold")))
            : OptionalLong.empty());
  }

  @Override
  public Optional<String> readTargetId(MultiMap headers) {
    return Optional.ofNullable(headers.get("target"));
  }

  /** Returns a load of the form "running,waiting,slots,work". */
  private static TargetStatus readLoad(String load) {
    int[] numbers = Arrays.stream(load.split(",")).mapToInt(Integer::parseInt).toArray();
    return new TargetStatus(numbers[0], numbers[1], numbers[2], OptionalInt.of(numbers[3]));
  }
}
