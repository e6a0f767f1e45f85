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

/** Parses YAML and keeps the line number of each value for findings. */
final class SettingsParser {

  private static final YAMLFactory YAML = new YAMLFactory();

  private final String file;

  private final Findings findings;

  /**
   * Creates a parser.
   *
   * @param file the name of the file, for findings
   * @param findings the findings to add to
   */
  SettingsParser(String file, Findings findings) {
    this.file = file;
    this.findings = findings;
  }

  /**
   * Parses a document whose top level is a mapping. Syntax errors are added to the findings.
   *
   * @param text the document
   * @return the mapping, empty if the document cannot be parsed
   */
  SettingsNode.Mapping parse(String text) {
    try (JsonParser parser = YAML.createParser(text)) {
      if (parser.nextToken() == JsonToken.START_OBJECT) {
        return readMapping(parser, "");
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
   * Reads a mapping whose start token has been read.
   *
   * @param parser the parser
   * @param path the path of the mapping, for findings
   * @return the mapping
   * @throws IOException if the document is not valid
   */
  private SettingsNode.Mapping readMapping(JsonParser parser, String path) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    Map<String, SettingsNode> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      int fieldLine = parser.currentTokenLocation().getLineNr();
      parser.nextToken();
      String fieldPath = path.isEmpty() ? name : path + "." + name;
      SettingsNode value = readNode(parser, fieldPath);
      if (fields.put(name, value) != null) {
        findings.add(new Finding(file, fieldLine, fieldPath, "the key appears twice"));
      }
    }
    return new SettingsNode.Mapping(fields, line);
  }

  /**
   * Reads a value whose first token has been read.
   *
   * @param parser the parser
   * @param path the path of the value, for findings
   * @return the value
   * @throws IOException if the document is not valid
   */
  private SettingsNode readNode(JsonParser parser, String path) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    return switch (parser.currentToken()) {
      case START_OBJECT -> readMapping(parser, path);
      case START_ARRAY -> readSequence(parser, path, line);
      default -> new SettingsNode.Scalar(parser.getText(), line);
    };
  }

  /**
   * Reads a list whose start token has been read.
   *
   * @param parser the parser
   * @param path the path of the list, for findings
   * @param line the line number of the list
   * @return the list
   * @throws IOException if the document is not valid
   */
  private SettingsNode.Sequence readSequence(JsonParser parser, String path, int line)
      throws IOException {
    List<SettingsNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readNode(parser, path + "[" + items.size() + "]"));
    }
    return new SettingsNode.Sequence(items, line);
  }

  private static String firstLine(String message) {
    return String.valueOf(message).lines().findFirst().orElse("");
  }
}
