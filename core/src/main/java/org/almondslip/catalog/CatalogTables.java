package org.almondslip.catalog;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.store.TableStore.Row;

/** Tables of the catalog, their keys and the JSON form of their rows. */
public final class CatalogTables {

  /** Table with one row for each object, by {@link CatalogObject#key()}. */
  public static final String OBJECTS = "catalog";

  /** Table with one row for each object that a ticket touched, by revision. */
  public static final String AUDIT = "catalog-audit";

  /** Table with one row for each ticket that was applied. */
  public static final String TICKETS = "catalog-ticket";

  /** Table with the row that holds the revision. */
  public static final String STATE = "catalog-state";

  /** Key of the row that holds the revision. */
  public static final String REVISION = "revision";

  /** Reader and writer of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Not instantiable. */
  private CatalogTables() {}

  /**
   * Returns the prefix of the audit entries of a revision. Digits are padded so that keys sort by
   * revision.
   *
   * @param revision the revision
   * @return the prefix
   */
  public static String auditPrefix(long revision) {
    return "%020d/".formatted(revision);
  }

  /**
   * Writes a revision.
   *
   * @param revision the revision
   * @return the row's value
   */
  static String revisionValue(long revision) {
    return MAPPER.createObjectNode().put("revision", revision).toString();
  }

  /**
   * Reads a revision.
   *
   * @param row the row
   * @return the revision
   */
  static long revisionOf(Row row) {
    return parse(row).path("revision").asLong();
  }

  /**
   * Writes an object with its ticket.
   *
   * @param state the object
   * @return the row's value
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
   * Reads an object with its ticket.
   *
   * @param row the row
   * @return the object
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
   * Writes an audit entry.
   *
   * @param entry the entry
   * @return the row's value
   */
  static String auditValue(AuditEntry entry) {
    return MAPPER.valueToTree(entry).toString();
  }

  /**
   * Reads an audit entry.
   *
   * @param row the row
   * @return the entry
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
   * @return the JSON form
   */
  static JsonNode json(CatalogObject object) {
    try {
      return MAPPER.readTree(Kind.toJson(object));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a catalog object has no JSON form", e);
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
   * Creates the exception for a row that this release cannot read.
   *
   * @param key the key of the row
   * @param detail what is wrong
   * @return the exception
   */
  private static AlmondslipException malformed(String key, String detail) {
    return new AlmondslipException(
        ErrorCode.INTERNAL, "catalog row " + key + " cannot be read: " + detail);
  }
}
