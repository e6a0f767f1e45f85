package org.almondslip.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.Ticket;
import org.almondslip.catalog.TicketSource;
import org.almondslip.error.Findings;

/**
 * Parses tickets from YAML or JSON. One parser reads both, since JSON is a subset of YAML.
 *
 * <p>The parser checks only the syntax and the types of fields. The ticket is checked against the
 * catalog by the validator.
 */
public final class TicketParser {

  private final String file;

  private final Findings findings;

  private final List<CatalogObject> objects = new ArrayList<>();

  /** Sections of the objects, in the order of {@link #objects}. */
  private final List<Section> objectSections = new ArrayList<>();

  private TicketParser(String file, Findings findings) {
    this.file = file;
    this.findings = findings;
  }

  /**
   * Parses a ticket.
   *
   * @param file the name of the file, for findings
   * @param text the YAML or JSON text
   * @param findings the findings to add to
   * @return the ticket, or empty if there are findings
   */
  public static Optional<ParsedTicket> parse(String file, String text, Findings findings) {
    Findings ticketFindings = new Findings();
    ParsedTicket parsed = new TicketParser(file, ticketFindings).read(text);
    ticketFindings.toList().forEach(findings::add);
    return ticketFindings.isEmpty() ? Optional.of(parsed) : Optional.empty();
  }

  /**
   * Reads the ticket.
   *
   * @param text the YAML or JSON text
   * @return the ticket, which is used only if there are no findings
   */
  private ParsedTicket read(String text) {
    Section top = Section.of(file, text, findings);
    final Ticket header =
        new Ticket(
            requiredInteger(top, "number", Long.MAX_VALUE),
            top.text("author"),
            top.optionalText("note").orElse(""),
            List.of());
    top.sections("objects").forEach(this::readObject);
    if (findings.isEmpty() && objects.isEmpty()) {
      top.report("objects", "must name at least one object");
    }
    top.reportUnknownKeys();
    return new ParsedTicket(header.withObjects(objects), sourceOf(top));
  }

  private void readObject(Section section) {
    String label = section.text("kind");
    String name = section.text("name");
    Optional<Kind> kind = Kind.ofLabel(label);
    if (kind.isEmpty()) {
      List<String> labels = Arrays.stream(Kind.values()).map(Kind::label).toList();
      section.report("kind", "must be one of " + String.join(", ", labels));
      return;
    }
    objectSections.add(section);
    objects.add(
        switch (kind.get()) {
          case ORGANISATION -> new Organisation(name, section.texts("reach"));
          case SHARE ->
              new Share(name, (int) requiredInteger(section, "weight", Integer.MAX_VALUE));
          case TARGET -> readTarget(section, name);
          case KEY ->
              new ApiKey(
                  name,
                  section.text("organisation"),
                  section.text("sha256"),
                  section.flag("revoked", false));
        });
  }

  private static Target readTarget(Section section, String name) {
    return new Target(
        name,
        section.text("pool"),
        enumConstant(section, "type", Target.Type.MODEL),
        (int) requiredInteger(section, "slots", Integer.MAX_VALUE),
        enumConstant(section, "fencing", Target.Fencing.IGNORED),
        enumConstant(section, "state", Target.State.ACTIVE),
        section.texts(section.has("not_idempotent") ? "not_idempotent" : "notIdempotent"));
  }

  /**
   * Reads a required integer. The validator checks its sign and size.
   *
   * @param section the section
   * @param key the key
   * @param max the largest value, whose negation is the smallest value
   * @return the number, 1 if it is missing or invalid
   */
  private static long requiredInteger(Section section, String key, long max) {
    if (!section.has(key)) {
      section.report(key, "is required");
    }
    return section.integer(key, 1, -max, max);
  }

  /**
   * Reads an enum constant by its case-insensitive name.
   *
   * @param section the section
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid
   * @param <E> the type of the enum
   * @return the constant
   */
  private static <E extends Enum<E>> E enumConstant(Section section, String key, E fallback) {
    Optional<String> text = section.optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    List<String> names = new ArrayList<>();
    for (E value : fallback.getDeclaringClass().getEnumConstants()) {
      names.add(value.name().toLowerCase(Locale.ROOT));
      if (value.name().equalsIgnoreCase(text.get())) {
        return value;
      }
    }
    section.report(key, "must be " + String.join(" or ", names) + ", not '" + text.get() + "'");
    return fallback;
  }

  /**
   * Returns the source positions of the fields of the ticket.
   *
   * @param top the top level of the text
   * @return the source positions
   */
  private TicketSource sourceOf(Section top) {
    List<Section> sections = List.copyOf(objectSections);
    return (index, field, message) ->
        (index == TicketSource.TICKET ? top : sections.get(index)).finding(field, message);
  }
}
