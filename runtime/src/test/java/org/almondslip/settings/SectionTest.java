package org.almondslip.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.junit.jupiter.api.Test;

class SectionTest {

  private final Findings findings = new Findings();

  /** Guards against only the first of several invalid settings being reported. */
  @Test
  void allFindingsAreReportedWithTheirLines() {
    String text =
        """
        instance: router-1
        listen: localhost:80
        limits:
          drain: 5 parsecs
          queue: many
          colour: red
        """;
    Section section = Section.of("router.yaml", text, findings);
    section.text("instance");
    section.address("listen");
    Section limits = section.section("limits");
    limits.durationMillis("drain", 1, 0, 10);
    limits.integer("queue", 1, 0, 10);
    section.text("region");
    section.reportUnknownKeys();
    assertThat(findingPositions())
        .containsExactlyInAnyOrder(
            "2 listen", "4 limits.drain", "5 limits.queue", "6 limits.colour", "1 region");
  }

  /** Guards against a value that is out of range but used. */
  @Test
  void valueOutOfRangeIsReplacedByDefault() {
    Section section = Section.of("a.yaml", "silence: 9h\n", findings);
    assertThat(section.durationMillis("silence", 3_000, 1, 10_000)).isEqualTo(3_000);
    assertThat(findingPositions()).containsExactly("1 silence");
  }

  /** Guards against a second value that silently replaces the first. */
  @Test
  void duplicateKeyIsReported() {
    Section.of("a.yaml", "a: 1\na: 2\n", findings);
    assertThat(findings.isEmpty()).isFalse();
  }

  /** Guards against an exception instead of a finding for invalid YAML. */
  @Test
  void invalidYamlIsReportedOnce() {
    Section.of("a.yaml", "a: [1, 2\nb: }", findings).reportUnknownKeys();
    assertThat(findings.toList()).hasSize(1);
  }

  /** Guards against one unit being mistaken for another. */
  @Property(seed = "7", tries = 200)
  void durationIsConvertedByItsUnit(@ForAll @LongRange(min = 0, max = 1_000) long number) {
    Section section = Section.of("a.yaml", "a: " + number + "ms\nb: " + number + "s\n", findings);
    assertThat(section.durationMillis("a", -1, 0, Long.MAX_VALUE)).isEqualTo(number);
    assertThat(section.durationMillis("b", -1, 0, Long.MAX_VALUE)).isEqualTo(number * 1_000);
  }

  private List<String> findingPositions() {
    return findings.toList().stream().map(SectionTest::position).collect(Collectors.toList());
  }

  private static String position(Finding finding) {
    return finding.line() + " " + finding.field();
  }
}
