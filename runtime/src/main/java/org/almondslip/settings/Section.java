package org.almondslip.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;

/**
 * Typed access to one mapping of a settings file.
 *
 * <p>Reading a field never throws: a fault becomes a finding and the default or an empty value is
 * returned, so that all findings of a file are reported together. {@link #reportUnknownKeys}
 * reports the keys that nothing has read.
 */
public final class Section {

  /** Number followed by a unit. */
  private static final Pattern QUANTITY = Pattern.compile("(\\d+)\\s*([A-Za-z]+)");

  /** Address of the form {@code ip:port}. */
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

  /** Largest TCP port. */
  private static final int MAX_PORT = 65_535;

  /** Name of the file. */
  private final String file;

  /** Path of this section, empty for the top level. */
  private final String path;

  /** Parsed fields. */
  private final SettingsNode.Mapping mapping;

  /** Receiver of findings. */
  private final Findings findings;

  /** Keys that have been read. */
  private final Set<String> read = new HashSet<>();

  /** Sections below this one that have been read. */
  private final List<Section> children = new ArrayList<>();

  /**
   * Creates a section.
   *
   * @param file the name of the file
   * @param path the path of the section, empty for the top level
   * @param mapping the parsed fields
   * @param findings the receiver of findings
   */
  Section(String file, String path, SettingsNode.Mapping mapping, Findings findings) {
    this.file = file;
    this.path = path;
    this.mapping = mapping;
    this.findings = findings;
  }

  /**
   * Parses a file into its top-level section.
   *
   * @param file the name of the file, for findings
   * @param text the content of the file
   * @param findings the receiver of findings
   * @return the top-level section
   */
  public static Section of(String file, String text, Findings findings) {
    return new Section(file, "", new SettingsParser(file, findings).parse(text), findings);
  }

  /**
   * Reads a section below this one.
   *
   * @param key the key of the section
   * @return the section, without fields when the key is missing
   */
  public Section section(String key) {
    read.add(key);
    SettingsNode node = mapping.fields().get(key);
    SettingsNode.Mapping below = SettingsNode.Mapping.empty(mapping.line());
    if (node instanceof SettingsNode.Mapping found) {
      below = found;
    } else if (node != null) {
      addFinding(key, node.line(), "must be a mapping");
    }
    Section child = new Section(file, pathOf(key), below, findings);
    children.add(child);
    return child;
  }

  /**
   * Reads a list of sections.
   *
   * @param key the key of the list
   * @return the sections in order, empty when the key is missing
   */
  public List<Section> sections(String key) {
    read.add(key);
    SettingsNode node = mapping.fields().get(key);
    List<Section> sections = new ArrayList<>();
    if (node instanceof SettingsNode.Sequence sequence) {
      for (SettingsNode item : sequence.items()) {
        if (item instanceof SettingsNode.Mapping found) {
          String itemPath = pathOf(key) + "[" + sections.size() + "]";
          sections.add(new Section(file, itemPath, found, findings));
        } else {
          addFinding(key, item.line(), "must be a list of mappings");
        }
      }
    } else if (node != null) {
      addFinding(key, node.line(), "must be a list");
    }
    children.addAll(sections);
    return sections;
  }

  /**
   * Creates a finding at a field of this section without reporting it.
   *
   * @param key the key
   * @param message what is wrong and what is expected
   * @return the finding
   */
  public Finding finding(String key, String message) {
    return new Finding(file, lineOf(key), pathOf(key), message);
  }

  /**
   * Returns whether a key is present.
   *
   * @param key the key
   * @return true when the file has it
   */
  public boolean has(String key) {
    return mapping.fields().containsKey(key);
  }

  /**
   * Lists the keys of this section in the order of the file.
   *
   * @return the keys
   */
  public List<String> keys() {
    return List.copyOf(mapping.fields().keySet());
  }

  /**
   * Reads a text that must be present.
   *
   * @param key the key
   * @return the text, empty when it is missing
   */
  public String text(String key) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty() || text.get().isBlank()) {
      addFinding(key, lineOf(key), "is required");
    }
    return text.orElse("");
  }

  /**
   * Reads a text that may be missing.
   *
   * @param key the key
   * @return the text, or empty when it is missing
   */
  public Optional<String> optionalText(String key) {
    read.add(key);
    SettingsNode node = mapping.fields().get(key);
    if (node instanceof SettingsNode.Scalar scalar) {
      return Optional.of(scalar.text());
    }
    if (node != null) {
      addFinding(key, node.line(), "must be a single value");
    }
    return Optional.empty();
  }

  /**
   * Reads a list of texts.
   *
   * @param key the key
   * @return the texts, empty when the key is missing
   */
  public List<String> texts(String key) {
    read.add(key);
    SettingsNode node = mapping.fields().get(key);
    List<String> texts = new ArrayList<>();
    if (node instanceof SettingsNode.Sequence sequence) {
      for (SettingsNode item : sequence.items()) {
        if (item instanceof SettingsNode.Scalar scalar) {
          texts.add(scalar.text());
        } else {
          addFinding(key, item.line(), "must be a list of single values");
        }
      }
    } else if (node != null) {
      addFinding(key, node.line(), "must be a list");
    }
    return texts;
  }

  /**
   * Reads an address that must be present. Names are refused since processes connect by IP number.
   *
   * @param key the key
   * @return the address as {@code ip:port}, empty when it is missing or wrong
   */
  public String address(String key) {
    String text = text(key);
    if (!text.isEmpty()) {
      Matcher matcher = ADDRESS.matcher(text);
      if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
        addFinding(key, lineOf(key), "must be an IP number and a port, such as 127.0.0.1:8080");
      }
    }
    return text;
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @param fallback the value when the key is missing
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @return the number
   */
  public long integer(String key, long fallback, long min, long max) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    try {
      return inRange(key, Long.parseLong(text.get().trim()), fallback, min, max, "");
    } catch (NumberFormatException e) {
      addFinding(key, lineOf(key), "must be a whole number, not '" + text.get() + "'");
      return fallback;
    }
  }

  /**
   * Reads a number that may have a fraction.
   *
   * @param key the key
   * @param fallback the value when the key is missing
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @return the number
   */
  public double decimal(String key, double fallback, double min, double max) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    try {
      double value = Double.parseDouble(text.get().trim());
      if (value >= min && value <= max) {
        return value;
      }
      addFinding(key, lineOf(key), "must be from " + min + " to " + max + ", not " + value);
    } catch (NumberFormatException e) {
      addFinding(key, lineOf(key), "must be a number, not '" + text.get() + "'");
    }
    return fallback;
  }

  /**
   * Reads a switch.
   *
   * @param key the key
   * @param fallback the value when the key is missing
   * @return the value
   */
  public boolean flag(String key, boolean fallback) {
    Optional<String> text = optionalText(key);
    if (text.isPresent() && !text.get().equals("true") && !text.get().equals("false")) {
      addFinding(key, lineOf(key), "must be true or false, not '" + text.get() + "'");
    }
    return text.map("true"::equals).orElse(fallback);
  }

  /**
   * Reads a duration with its unit, such as {@code 250ms}, {@code 3s} or {@code 5min}.
   *
   * @param key the key
   * @param fallback the value when the key is missing, in milliseconds
   * @param min the smallest value allowed, in milliseconds
   * @param max the largest value allowed, in milliseconds
   * @return the duration in milliseconds
   */
  public long durationMillis(String key, long fallback, long min, long max) {
    return quantity(key, fallback, min, max, Unit.Kind.DURATION);
  }

  /**
   * Reads a size with its unit, such as {@code 64KiB} or {@code 1MiB}.
   *
   * @param key the key
   * @param fallback the value when the key is missing, in bytes
   * @param min the smallest value allowed, in bytes
   * @param max the largest value allowed, in bytes
   * @return the size in bytes
   */
  public long sizeBytes(String key, long fallback, long min, long max) {
    return quantity(key, fallback, min, max, Unit.Kind.SIZE);
  }

  /**
   * Adds a finding at a field of this section, for clashes between fields.
   *
   * @param key the key
   * @param message what is wrong and what is expected
   */
  public void report(String key, String message) {
    addFinding(key, lineOf(key), message);
  }

  /** Reports the keys that nothing has read, in this section and those below. */
  public void reportUnknownKeys() {
    mapping
        .fields()
        .forEach(
            (key, node) -> {
              if (!read.contains(key)) {
                addFinding(key, node.line(), "is not a known setting");
              }
            });
    children.forEach(Section::reportUnknownKeys);
  }

  /**
   * Reads a number with a unit.
   *
   * @param key the key
   * @param fallback the value when the key is missing
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @param kind the kind of unit that is expected
   * @return the value in the base unit of its kind
   */
  private long quantity(String key, long fallback, long min, long max, Unit.Kind kind) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    Matcher matcher = QUANTITY.matcher(text.get().trim());
    Optional<Unit> unit =
        matcher.matches() ? Unit.ofSymbol(matcher.group(2), kind) : Optional.empty();
    if (unit.isEmpty()) {
      String expected = "must be a number with a unit (" + Unit.symbols(kind) + ")";
      addFinding(key, lineOf(key), expected + ", not '" + text.get() + "'");
      return fallback;
    }
    try {
      long value = Math.multiplyExact(Long.parseLong(matcher.group(1)), unit.get().factor());
      return inRange(key, value, fallback, min, max, " " + kind.base());
    } catch (ArithmeticException | NumberFormatException e) {
      addFinding(key, lineOf(key), "is too large");
      return fallback;
    }
  }

  /**
   * Checks a value against its limits.
   *
   * @param key the key
   * @param value the value
   * @param fallback the value to use when it is outside
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @param unit the unit for the message, with a leading space
   * @return the value, or the fallback when it is outside
   */
  private long inRange(String key, long value, long fallback, long min, long max, String unit) {
    if (value < min || value > max) {
      addFinding(key, lineOf(key), "must be from " + min + " to " + max + unit + ", not " + value);
      return fallback;
    }
    return value;
  }

  /**
   * Adds a finding.
   *
   * @param key the key
   * @param line the line
   * @param message what is wrong and what is expected
   */
  private void addFinding(String key, int line, String message) {
    findings.add(new Finding(file, line, pathOf(key), message));
  }

  /**
   * Returns the line of a field.
   *
   * @param key the key
   * @return its line, or the line of the section when it is missing
   */
  private int lineOf(String key) {
    SettingsNode node = mapping.fields().get(key);
    return node == null ? mapping.line() : node.line();
  }

  /**
   * Returns the path of a field.
   *
   * @param key the key
   * @return the path from the top level
   */
  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
