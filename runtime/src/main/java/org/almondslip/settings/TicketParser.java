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
 * Reads tickets from YAML or JSON text. JSON is a subset of YAML, so one parser reads both.
 *
 * <p>Only the form is checked here; the meaning is checked against the catalog by the validator.
 */
public final class TicketParser {

  /** Name of the file, for findings. */
  private final String file;

  /** Receiver of findings. */
  private final Findings findings;

  /** Objects read so far. */
  private final List<CatalogObject> objects = new ArrayList<>();

  /** Sections of the objects, in the same order. */
  private final List<Section> sections = new ArrayList<>();

  /**
   * Creates a parser.
   *
   * @param file the name of the file
   * @param findings the receiver of findings
   */
  private TicketParser(String file, Findings findings) {
    this.file = file;
    this.findings = findings;
  }

  /**
   * Reads a ticket.
   *
   * @param file the name of the file, for findings
   * @param text the YAML or JSON text
   * @param findings the receiver of findings
   * @return the ticket, or empty when there are findings
   */
  public static Optional<ParsedTicket> parse(String file, String text, Findings findings) {
    Findings own = new Findings();
    ParsedTicket parsed = new TicketParser(file, own).read(text);
    own.toList().forEach(findings::add);
    return own.isEmpty() ? Optional.of(parsed) : Optional.empty();
  }

  /**
   * Reads the whole text.
   *
   * @param text the text
   * @return the ticket, only used when there is no finding
   */
  private ParsedTicket read(String text) {
    Section top = Section.of(file, text, findings);
    final Ticket header =
        new Ticket(
            required(top, "number", Long.MAX_VALUE),
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

  /**
   * Reads an object.
   *
   * @param section the section of the object
   */
  private void readObject(Section section) {
    String label = section.text("kind");
    String name = section.text("name");
    Optional<Kind> kind = Kind.ofLabel(label);
    if (kind.isEmpty()) {
      List<String> labels = Arrays.stream(Kind.values()).map(Kind::label).toList();
      section.report("kind", "must be one of " + String.join(", ", labels));
      return;
    }
    sections.add(section);
    objects.add(
        switch (kind.get()) {
          case ORGANISATION -> new Organisation(name, section.texts("reach"));
          case SHARE -> new Share(name, (int) required(section, "weight", Integer.MAX_VALUE));
          case TARGET -> target(section, name);
          case KEY ->
              new ApiKey(
                  name,
                  section.text("organisation"),
                  section.text("sha256"),
                  section.flag("revoked", false));
        });
  }

  /**
   * Reads a target.
   *
   * @param section the section of the object
   * @param name the name of the target
   * @return the target
   */
  private static Target target(Section section, String name) {
    return new Target(
        name,
        section.text("pool"),
        choice(section, "type", Target.Type.MODEL),
        (int) required(section, "slots", Integer.MAX_VALUE),
        choice(section, "fencing", Target.Fencing.IGNORED),
        choice(section, "state", Target.State.ACTIVE),
        section.texts(section.has("not_idempotent") ? "not_idempotent" : "notIdempotent"));
  }

  /**
   * Reads a whole number that must be present. Its sign and size are left to the validator.
   *
   * @param section the section
   * @param key the key
   * @param max the largest value that fits
   * @return the number
   */
  private static long required(Section section, String key, long max) {
    if (!section.has(key)) {
      section.report(key, "is required");
    }
    return section.integer(key, 1, -max, max);
  }

  /**
   * Reads one of several words.
   *
   * @param section the section
   * @param key the key
   * @param fallback the value when the key is missing
   * @param <E> the type of the values
   * @return the value
   */
  private static <E extends Enum<E>> E choice(Section section, String key, E fallback) {
    Optional<String> text = section.optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    List<String> words = new ArrayList<>();
    for (E value : fallback.getDeclaringClass().getEnumConstants()) {
      words.add(value.name().toLowerCase(Locale.ROOT));
      if (value.name().equalsIgnoreCase(text.get())) {
        return value;
      }
    }
    section.report(key, "must be " + String.join(" or ", words) + ", not '" + text.get() + "'");
    return fallback;
  }

  /**
   * Returns the places of the ticket's fields.
   *
   * @param top the top level of the text
   * @return the places
   */
  private TicketSource sourceOf(Section top) {
    List<Section> places = List.copyOf(sections);
    return (index, field, message) ->
        (index == TicketSource.TICKET ? top : places.get(index)).finding(field, message);
  }
}
