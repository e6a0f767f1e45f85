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
 * <p>Reading a value never throws. An invalid value is added to the findings and replaced by the
 * default or an empty value, so that all findings of a file are reported together. {@link
 * #reportUnknownKeys} reports the keys that were never read.
 */
public final class Section {

  /** Number followed by a unit. */
  private static final Pattern QUANTITY = Pattern.compile("(\\d+)\\s*([A-Za-z]+)");

  /** Address of the form {@code ip:port}. */
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

  private static final int MAX_PORT = 65_535;

  private final String file;

  /** Path from the top level, empty for the top level itself. */
  private final String path;

  private final SettingsNode.Mapping mapping;

  private final Findings findings;

  private final Set<String> readKeys = new HashSet<>();

  /** Nested sections that were read, whose unknown keys are reported together with this section. */
  private final List<Section> children = new ArrayList<>();

  /**
   * Creates a section.
   *
   * @param file the name of the file, for findings
   * @param path the path of the section, empty for the top level
   * @param mapping the parsed fields
   * @param findings the findings to add to
   */
  Section(String file, String path, SettingsNode.Mapping mapping, Findings findings) {
    this.file = file;
    this.path = path;
    this.mapping = mapping;
    this.findings = findings;
  }

  /**
   * Parses a file into its top-level section. Syntax errors are added to the findings.
   *
   * @param file the name of the file, for findings
   * @param text the content of the file
   * @param findings the findings to add to
   * @return the top-level section, without fields if the file cannot be parsed
   */
  public static Section of(String file, String text, Findings findings) {
    return new Section(file, "", new SettingsParser(file, findings).parse(text), findings);
  }

  /**
   * Reads a nested section.
   *
   * @param key the key of the section
   * @return the section, without fields if the key is missing or its value is not a mapping
   */
  public Section section(String key) {
    readKeys.add(key);
    SettingsNode node = mapping.fields().get(key);
    SettingsNode.Mapping fields = SettingsNode.Mapping.empty(mapping.line());
    if (node instanceof SettingsNode.Mapping found) {
      fields = found;
    } else if (node != null) {
      addFinding(key, node.line(), "must be a mapping");
    }
    Section child = new Section(file, pathOf(key), fields, findings);
    children.add(child);
    return child;
  }

  /**
   * Reads a list of sections.
   *
   * @param key the key of the list
   * @return the valid sections in their order, empty if the key is missing
   */
  public List<Section> sections(String key) {
    readKeys.add(key);
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
   * Creates a finding for a field of this section without adding it to the findings.
   *
   * @param key the key
   * @param message a description of what is wrong and what is expected
   * @return the finding
   */
  public Finding finding(String key, String message) {
    return new Finding(file, lineOf(key), pathOf(key), message);
  }

  /**
   * Returns whether a key is present. The key does not count as read.
   *
   * @param key the key
   * @return true if the file contains the key
   */
  public boolean has(String key) {
    return mapping.fields().containsKey(key);
  }

  /**
   * Returns the keys of this section in the order of the file.
   *
   * @return the keys
   */
  public List<String> keys() {
    return List.copyOf(mapping.fields().keySet());
  }

  /**
   * Reads a required string. A missing or blank string is added to the findings.
   *
   * @param key the key
   * @return the string, empty if it is missing
   */
  public String text(String key) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty() || text.get().isBlank()) {
      addFinding(key, lineOf(key), "is required");
    }
    return text.orElse("");
  }

  /**
   * Reads an optional string.
   *
   * @param key the key
   * @return the string, empty if it is missing or not a scalar
   */
  public Optional<String> optionalText(String key) {
    readKeys.add(key);
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
   * Reads a list of strings.
   *
   * @param key the key
   * @return the valid strings in their order, empty if the key is missing
   */
  public List<String> texts(String key) {
    readKeys.add(key);
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
   * Reads a required address. Host names are rejected, since processes connect by IP address.
   *
   * @param key the key
   * @return the address as {@code ip:port}, unchanged if it is invalid, empty if it is missing
   */
  public String address(String key) {
    String text = text(key);
    if (!text.isEmpty()) {
      Matcher matcher = ADDRESS.matcher(text);
      if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
        addFinding(key, lineOf(key), "must be an IP address and a port, such as 127.0.0.1:8080");
      }
    }
    return text;
  }

  /**
   * Reads an integer.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @return the number
   */
  public long integer(String key, long fallback, long min, long max) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    try {
      return checkRange(key, Long.parseLong(text.get().trim()), fallback, min, max, "");
    } catch (NumberFormatException e) {
      addFinding(key, lineOf(key), "must be a whole number, not '" + text.get() + "'");
      return fallback;
    }
  }

  /**
   * Reads a decimal number.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid
   * @param min the smallest allowed value
   * @param max the largest allowed value
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
   * Reads a boolean.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @return the value, false if it is neither {@code true} nor {@code false}
   */
  public boolean flag(String key, boolean fallback) {
    Optional<String> text = optionalText(key);
    if (text.isPresent() && !text.get().equals("true") && !text.get().equals("false")) {
      addFinding(key, lineOf(key), "must be true or false, not '" + text.get() + "'");
    }
    return text.map("true"::equals).orElse(fallback);
  }

  /**
   * Reads a duration with a unit, such as {@code 250ms}, {@code 3s} or {@code 5min}.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid, in milliseconds
   * @param min the smallest allowed value, in milliseconds
   * @param max the largest allowed value, in milliseconds
   * @return the duration in milliseconds
   */
  public long durationMillis(String key, long fallback, long min, long max) {
    return readQuantity(key, fallback, min, max, Unit.Kind.DURATION);
  }

  /**
   * Reads a size with a unit, such as {@code 64KiB} or {@code 1MiB}.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid, in bytes
   * @param min the smallest allowed value, in bytes
   * @param max the largest allowed value, in bytes
   * @return the size in bytes
   */
  public long sizeBytes(String key, long fallback, long min, long max) {
    return readQuantity(key, fallback, min, max, Unit.Kind.SIZE);
  }

  /**
   * Adds a finding for a field of this section, such as a conflict between fields.
   *
   * @param key the key
   * @param message a description of what is wrong and what is expected
   */
  public void report(String key, String message) {
    addFinding(key, lineOf(key), message);
  }

  /** Adds a finding for each key that was not read, in this section and its nested sections. */
  public void reportUnknownKeys() {
    mapping
        .fields()
        .forEach(
            (key, node) -> {
              if (!readKeys.contains(key)) {
                addFinding(key, node.line(), "is not a known setting");
              }
            });
    children.forEach(Section::reportUnknownKeys);
  }

  /**
   * Reads a number with a unit.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid, in the base unit
   * @param min the smallest allowed value, in the base unit
   * @param max the largest allowed value, in the base unit
   * @param kind the kind of the unit
   * @return the value in the base unit of its kind
   */
  private long readQuantity(String key, long fallback, long min, long max, Unit.Kind kind) {
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
      return checkRange(key, value, fallback, min, max, " " + kind.baseSymbol());
    } catch (ArithmeticException | NumberFormatException e) {
      addFinding(key, lineOf(key), "is too large");
      return fallback;
    }
  }

  /**
   * Returns a value if it is within its range. Otherwise adds a finding and returns the fallback.
   *
   * @param key the key
   * @param value the value to check
   * @param fallback the value to return if it is out of range
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @param unit the unit for the message with a leading space, empty for none
   * @return the value or the fallback
   */
  private long checkRange(String key, long value, long fallback, long min, long max, String unit) {
    if (value < min || value > max) {
      addFinding(key, lineOf(key), "must be from " + min + " to " + max + unit + ", not " + value);
      return fallback;
    }
    return value;
  }

  private void addFinding(String key, int line, String message) {
    findings.add(new Finding(file, line, pathOf(key), message));
  }

  /**
   * Returns the line number of a field.
   *
   * @param key the key
   * @return the line number of the value, or of the section if the key is missing
   */
  private int lineOf(String key) {
    SettingsNode node = mapping.fields().get(key);
    return node == null ? mapping.line() : node.line();
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
