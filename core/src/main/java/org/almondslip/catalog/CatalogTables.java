package org.almondslip.catalog;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.store.TableStore.Row;

/** Names, keys and JSON row formats of the catalog tables in the table service. */
public final class CatalogTables {

  /** Table of objects with one row per object, keyed by {@link CatalogObject#key()}. */
  public static final String OBJECTS = "catalog";

  /** Table of audit entries with one row per changed object and revision. */
  public static final String AUDIT = "catalog-audit";

  /** Table of applied tickets with one row per ticket, keyed by {@link Ticket#recordKey()}. */
  public static final String TICKETS = "catalog-ticket";

  /** Table that contains the revision row. */
  public static final String STATE = "catalog-state";

  /** Key of the revision row. */
  public static final String REVISION = "revision";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CatalogTables() {}

  /**
   * Returns the key prefix of the audit entries of a revision. The revision is padded with zeros,
   * so that keys sort by revision.
   *
   * @param revision the revision
   * @return the key prefix
   */
  public static String auditPrefix(long revision) {
    return "%020d/".formatted(revision);
  }

  /**
   * Encodes the value of a row that holds a revision.
   *
   * @param revision the revision
   * @return the row value
   */
  static String revisionValue(long revision) {
    return MAPPER.createObjectNode().put("revision", revision).toString();
  }

  /**
   * Decodes a row that holds a revision.
   *
   * @param row the row
   * @return the revision, 0 if the value has none
   * @throws AlmondslipException if the value is not valid JSON
   */
  static long revisionOf(Row row) {
    return parse(row).path("revision").asLong();
  }

  /**
   * Encodes the value of an object row.
   *
   * @param state the object
   * @return the row value
   */
  static String objectValue(VersionedObject state) {
    ObjectNode json = MAPPER.createObjectNode();
    json.put("kind", state.object().kind().label());
    json.put("number", state.number());
    json.put("revision", state.revision());
    json.set("object", json(state.object()));
    return json.toString();
  }

  /**
   * Decodes an object row.
   *
   * @param row the row
   * @return the object
   * @throws AlmondslipException if the row is malformed or its kind is unknown
   */
  static VersionedObject objectOf(Row row) {
    JsonNode json = parse(row);
    String label = json.path("kind").asText();
    Kind kind = Kind.ofLabel(label).orElseThrow(() -> malformed(row.key(), "kind " + label));
    CatalogObject object = kind.parse(json.path("object"));
    return new VersionedObject(
        object, json.path("number").asLong(), json.path("revision").asLong());
  }

  /**
   * Encodes the value of an audit row.
   *
   * @param entry the audit entry
   * @return the row value
   */
  static String auditValue(AuditEntry entry) {
    return MAPPER.valueToTree(entry).toString();
  }

  /**
   * Decodes an audit row.
   *
   * @param row the row
   * @return the audit entry
   * @throws AlmondslipException if the row is malformed
   */
  public static AuditEntry auditOf(Row row) {
    try {
      return MAPPER.readValue(row.value(), AuditEntry.class);
    } catch (JsonProcessingException e) {
      throw malformed(row.key(), e.getOriginalMessage());
    }
  }

  /**
   * Converts an object to JSON.
   *
   * @param object the object
   * @return the JSON document
   */
  static JsonNode json(CatalogObject object) {
    try {
      return MAPPER.readTree(Kind.toJson(object));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a catalog object cannot be converted to JSON", e);
    }
  }

  /**
   * Parses the value of a row.
   *
   * @param row the row
   * @return the JSON document
   */
  private static JsonNode parse(Row row) {
    try {
      return MAPPER.readTree(row.value());
    } catch (JsonProcessingException e) {
      throw malformed(row.key(), e.getOriginalMessage());
    }
  }

  /**
   * Creates the exception for a row that this release cannot decode.
   *
   * @param key the key of the row
   * @param detail the reason
   * @return the exception
   */
  private static AlmondslipException malformed(String key, String detail) {
    return new AlmondslipException(
        ErrorCode.INTERNAL, "catalog row " + key + " cannot be read: " + detail);
  }
}
