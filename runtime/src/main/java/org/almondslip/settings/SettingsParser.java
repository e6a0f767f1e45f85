package org.almondslip.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;

/** Parses YAML and keeps the line of each value, so that findings can name their place. */
final class SettingsParser {

  /** Factory of YAML parsers. */
  private static final YAMLFactory YAML = new YAMLFactory();

  /** Name of the file, for findings. */
  private final String file;

  /** Receiver of findings. */
  private final Findings findings;

  /**
   * Creates a parser.
   *
   * @param file the name of the file
   * @param findings the receiver of findings
   */
  SettingsParser(String file, Findings findings) {
    this.file = file;
    this.findings = findings;
  }

  /**
   * Parses a document whose top level is a mapping.
   *
   * @param text the document
   * @return the mapping; empty when the document cannot be parsed
   */
  SettingsNode.Mapping parse(String text) {
    try (JsonParser parser = YAML.createParser(text)) {
      if (parser.nextToken() == JsonToken.START_OBJECT) {
        return mapping(parser, "");
      }
      findings.add(new Finding(file, 1, "", "the top level must be a mapping"));
    } catch (IOException e) {
      int line =
          e instanceof com.fasterxml.jackson.core.JsonProcessingException json
                  && json.getLocation() != null
              ? json.getLocation().getLineNr()
              : 0;
      findings.add(new Finding(file, line, "", "not valid YAML: " + firstLine(e.getMessage())));
    }
    return SettingsNode.Mapping.empty(1);
  }

  /**
   * Reads a mapping whose start has been read.
   *
   * @param parser the parser
   * @param path the path of the mapping
   * @return the mapping
   * @throws IOException when the document is not valid
   */
  private SettingsNode.Mapping mapping(JsonParser parser, String path) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    Map<String, SettingsNode> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      int fieldLine = parser.currentTokenLocation().getLineNr();
      parser.nextToken();
      String fieldPath = path.isEmpty() ? name : path + "." + name;
      SettingsNode value = node(parser, fieldPath);
      if (fields.put(name, value) != null) {
        findings.add(new Finding(file, fieldLine, fieldPath, "the key appears twice"));
      }
    }
    return new SettingsNode.Mapping(fields, line);
  }

  /**
   * Reads any value whose first token has been read.
   *
   * @param parser the parser
   * @param path the path of the value
   * @return the value
   * @throws IOException when the document is not valid
   */
  private SettingsNode node(JsonParser parser, String path) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    return switch (parser.currentToken()) {
      case START_OBJECT -> mapping(parser, path);
      case START_ARRAY -> sequence(parser, path, line);
      default -> new SettingsNode.Scalar(parser.getText(), line);
    };
  }

  /**
   * Reads a list whose start has been read.
   *
   * @param parser the parser
   * @param path the path of the list
   * @param line the line of the list
   * @return the list
   * @throws IOException when the document is not valid
   */
  private SettingsNode.Sequence sequence(JsonParser parser, String path, int line)
      throws IOException {
    List<SettingsNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(parser, path + "[" + items.size() + "]"));
    }
    return new SettingsNode.Sequence(items, line);
  }

  /**
   * Returns the first line of a message of the library.
   *
   * @param message the message
   * @return its first line
   */
  private static String firstLine(String message) {
    return String.valueOf(message).lines().findFirst().orElse("");
  }
}
