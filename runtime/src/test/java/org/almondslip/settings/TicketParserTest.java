package org.almondslip.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.Ticket;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.junit.jupiter.api.Test;

/** Tests the parsing of tickets. */
class TicketParserTest {

  /** Ticket that contains an object of each kind. */
  private static final String YAML =
      """
      number: 12
      author: kim
      note: adds acme
      objects:
        - kind: target
          name: desk
          pool: orders
          type: service
          slots: 4
          fencing: checked
          state: leaving
          not_idempotent: [PUT]
        - kind: organisation
          name: acme
          reach: [orders]
        - {kind: share, name: acme, weight: 3}
        - kind: key
          name: k1
          organisation: acme
          sha256: abc
          revoked: true
      """;

  private final Findings findings = new Findings();

  /** Guards against fields that are not copied from the file to the ticket. */
  @Test
  void allKindsAreParsed() {
    assertThat(TicketParser.parse("t.yaml", YAML, findings).orElseThrow().ticket())
        .isEqualTo(
            new Ticket(
                12,
                "kim",
                "adds acme",
                List.of(
                    new Target(
                        "desk",
                        "orders",
                        Target.Type.SERVICE,
                        4,
                        Target.Fencing.CHECKED,
                        Target.State.LEAVING,
                        List.of("PUT")),
                    new Organisation("acme", List.of("orders")),
                    new Share("acme", 3),
                    new ApiKey("k1", "acme", "abc", true))));
  }

  /** Guards against JSON tickets being rejected. */
  @Test
  void jsonIsParsed() {
    String json =
        "{\"number\":1,\"author\":\"kim\",\"objects\":["
            + "{\"kind\":\"share\",\"name\":\"acme\",\"weight\":2}]}";
    assertThat(TicketParser.parse("t.json", json, findings).map(p -> p.ticket().objects()))
        .isEqualTo(Optional.of(List.of(new Share("acme", 2))));
  }

  /** Guards against only the first finding being reported, and against wrong line numbers. */
  @Test
  void allFindingsAreReportedWithTheirPositions() {
    String text =
        """
        number: twelve
        objects:
          - kind: share
            name: acme
            wieght: 3
          - kind: group
            name: x
          - kind: target
            name: desk
            pool: orders
            slots: 1
            type: engine
        """;
    assertThat(TicketParser.parse("t.yaml", text, findings)).isEmpty();
    assertThat(findings.toList())
        .extracting(Finding::toString)
        .containsExactlyInAnyOrder(
            "t.yaml:1: number: must be a whole number, not 'twelve'",
            "t.yaml:1: author: is required",
            "t.yaml:3: objects[0].weight: is required",
            "t.yaml:5: objects[0].wieght: is not a known setting",
            "t.yaml:6: objects[1].kind: must be one of organisation, share, target, key",
            "t.yaml:12: objects[2].type: must be model or service, not 'engine'");
  }

  /** Guards against findings of the validator without a line number. */
  @Test
  void sourceReturnsTheLinesOfFields() {
    ParsedTicket parsed = TicketParser.parse("t.yaml", YAML, findings).orElseThrow();
    assertThat(parsed.source().finding(1, "reach", "is wrong"))
        .isEqualTo(new Finding("t.yaml", 15, "objects[1].reach", "is wrong"));
    assertThat(parsed.source().finding(-1, "number", "is wrong"))
        .isEqualTo(new Finding("t.yaml", 1, "number", "is wrong"));
  }
}
